package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// versionBytes is the length of a version before it is written as text: enough to
// tell the settings of one deployment apart.
const versionBytes = 6

// Version names the settings that a reload can change by their content: two processes
// with the same version have the same value for each of these keys. The others, such as
// addresses, differ between hosts.
func (g *Gateway) Version() string {
	sum := sha256.New()
	for _, group := range gatewayGroups {
		for _, field := range group.fields {
			if !field.ReadAtStart {
				_, _ = sum.Write([]byte(group.name + "." + field.Key + "=" + field.Get(g) + "\n"))
			}
		}
	}
	return hex.EncodeToString(sum.Sum(nil)[:versionBytes])
}

// Change is what a reload makes of the settings in force.
type Change struct {
	// InForce are the settings from now on: the new ones, but for keys that are read at
	// the start alone.
	InForce *Gateway
	// Applied and AtStart name the keys that differ, as section.key: those that changed,
	// and those that the next start changes.
	Applied, AtStart []string
}

// Reload holds the settings in force against those of a file that was read again.
func (g *Gateway) Reload(read *Gateway) Change {
	merged := *read
	change := Change{InForce: &merged}
	for _, group := range gatewayGroups {
		for _, field := range group.fields {
			if field.Get(g) == field.Get(read) {
				continue
			}
			name := group.name + "." + field.Key
			if !field.ReadAtStart {
				change.Applied = append(change.Applied, name)
				continue
			}
			change.AtStart = append(change.AtStart, name)
			field.Copy(&merged, g)
		}
	}
	return change
}
