package emulator

import "time"

// Pattern is a pattern of load and faults. The zero value is calm.
type Pattern struct {
	Name string
	// Load multiplies the load of all zones.
	Load float64
	// Burst multiplies the load of BurstZone, or of all zones if that is negative, from BurstFrom
	// to BurstTo.
	Burst     float64
	BurstZone int
	BurstFrom time.Duration
	BurstTo   time.Duration
	// RestartAll is the time at which all endpoints and nodes lose power, for RestartTime; zero
	// means never.
	RestartAll  time.Duration
	RestartTime time.Duration
	// ReplacedShare is the share of the endpoints that are replaced one after another from
	// ReplaceFrom to ReplaceTo. A new one is cold.
	ReplacedShare float64
	ReplaceFrom   time.Duration
	ReplaceTo     time.Duration
	// SlowNodes is the share of the nodes, beside endpoint and caller, that take SlowNodeDelay more
	// for each request from SlowFrom to SlowTo.
	SlowNodes     float64
	SlowNodeDelay time.Duration
	SlowFrom      time.Duration
	SlowTo        time.Duration
	// LostShare is the share of the answers that are lost from LostFrom to LostTo: the connection
	// ends after the run.
	LostShare float64
	LostFrom  time.Duration
	LostTo    time.Duration
	// Surge multiplies the load of one workspace, given by its index, from SurgeFrom to SurgeTo.
	Surge          float64
	SurgeWorkspace int
	SurgeFrom      time.Duration
	SurgeTo        time.Duration
	// EagerShare is the share of the requests whose callers retry at once when refused, and up to
	// three times as often, in a fleet with workspaces.
	EagerShare float64
}

// Patterns are the patterns of the measurement: calm waves, and the worst seconds of the days with
// trouble.
var Patterns = []Pattern{
	{
		Name: "calm waves",
	},
	{
		Name: "waves with 1.5 times the load",
		Load: 1.5,
	},
	{
		Name:        "all nodes back at once",
		RestartAll:  12 * time.Second,
		RestartTime: time.Second,
	},
	{
		Name:          "slow nodes",
		SlowNodes:     0.15,
		SlowNodeDelay: 60 * time.Millisecond,
		SlowFrom:      8 * time.Second,
		SlowTo:        20 * time.Second,
	},
	{
		Name:          "burst in a zone while endpoints are replaced",
		Burst:         4,
		BurstZone:     3,
		BurstFrom:     8 * time.Second,
		BurstTo:       13 * time.Second,
		ReplacedShare: 0.4,
		ReplaceFrom:   6 * time.Second,
		ReplaceTo:     18 * time.Second,
	},
	{
		Name:      "burst everywhere",
		Burst:     2.5,
		BurstZone: -1,
		BurstFrom: 8 * time.Second,
		BurstTo:   13 * time.Second,
	},
	{
		Name:      "answers lost",
		LostShare: 0.06,
		LostFrom:  8 * time.Second,
		LostTo:    16 * time.Second,
	},
}

// rate returns the load of a zone at a time as a multiple of the fleet's.
func (p *Pattern) rate(zone int, at time.Duration) float64 {
	rate := 1.0
	if p.Load > 0 {
		rate = p.Load
	}
	if p.Burst > 0 && (p.BurstZone < 0 || p.BurstZone == zone) && at >= p.BurstFrom && at < p.BurstTo {
		rate *= p.Burst
	}
	return rate
}
