package reporter

// UsualSlowness is the slowness of an endpoint whose work takes as long as usual.
const UsualSlowness = 100

// EndpointLoad is what an endpoint says of its own load on an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the time that work takes now, in percent of the usual.
	Slowness int
}
