// Package traffic_test runs the traffic side of an entry host, from the
// caller's socket to the endpoint's, against stand-ins whose faults are switched
// on. Control is replaced by a fake that grants every request.
package traffic_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTraffic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "traffic")
}
