package reporter

// NormalSlowness is the slowness, in percent, of an endpoint whose requests take their
// normal time.
const NormalSlowness = 100

// EndpointLoad is the load that an endpoint reports in a response.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the current duration of requests in percent of the normal one.
	Slowness int
}
