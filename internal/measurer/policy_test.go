package measurer

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a p99 latency that is no longer lower than that of the baselines, or that
// needs more attempts and executions than the budgets of the retrier allow.
func TestPolicyHasLowerTailLatencyThanBaselines(t *testing.T) {
	w := Workloads[0]
	for _, load := range []float64{0.5, 0.85} {
		is := is.New(t)
		measured := simulate(t, makeRepeatable(LookupService(1, w, load)), fullPolicy)
		for _, p := range []Policy{RoundRobin, TwoChoicesDelayedReports, LeastOutstanding} {
			is.True(Quantile(measured.Short, 99) < Quantile(simulate(t, LookupService(1, w, load), p).Short, 99))
		}
		is.Equal(measured.Failed, 0)
		is.True(perRequest(measured.Executions, measured) <= 1.1)
		is.True(perRequest(measured.Attempts, measured) <= 1.3)
	}
}

// Guards against traffic that moves to a server because it fails fast, and against traffic
// that continues to reach a lost zone or a slow or flapping server.
func TestPolicyAvoidsFaultyServers(t *testing.T) {
	w := Workloads[0]
	withoutFault := Quantile(simulate(t, makeRepeatable(FaultScenario(1, w, FaultCases[0])), fullPolicy).Short, 99)
	for _, c := range FaultCases[1:] {
		is := is.New(t)
		r := simulate(t, makeRepeatable(FaultScenario(1, w, c)), fullPolicy)
		is.Equal(r.Failed, 0)
		is.True(Quantile(r.Short, 99) <= 1.5*withoutFault)
		is.True(r.ServerErrors <= 5*FaultScenario(1, w, c).Nodes) // on average, a node sees at most 5 errors
	}
}

// Guards against head-of-line blocking: short requests that queue behind long ones.
func TestLongRequestsDoNotBlockShortOnes(t *testing.T) {
	is := is.New(t)
	w := Workloads[0]
	shortOnly := simulate(t, HeadOfLineBlocking(1, w, 0), fullPolicy)
	mixed := simulate(t, HeadOfLineBlocking(1, w, 0.2), fullPolicy)
	is.True(Quantile(mixed.Short, 99) <= 1.2*Quantile(shortOnly.Short, 99))
	is.True(mixed.AnsweredLong > 0)
}
