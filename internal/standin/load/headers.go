package load

// Headers of requests to entry hosts and of their answers.
const (
	headerDeadline = "Trefoilchute-Deadline-Ms"
	headerTier     = "Trefoilchute-Tier"
	headerRequest  = "X-Request-Id"
	headerCode     = "Trefoilchute-Code"
)
