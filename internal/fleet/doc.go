// Package fleet measures scheduling policies: it runs their decisions against
// event-driven fakes of engines in simulated time. It is no simulator of a
// cluster: there is one pool, every message takes the same short time, and
// only engines are modelled.
package fleet
