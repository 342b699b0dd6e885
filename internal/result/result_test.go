package result

import "testing"

// TestTableOrder checks that codes are listed once, in numeric order.
func TestTableOrder(t *testing.T) {
	for i := 1; i < len(Table); i++ {
		if Table[i-1].Code >= Table[i].Code {
			t.Errorf("%s stands before %s", Table[i-1].Name, Table[i].Name)
		}
	}
}
