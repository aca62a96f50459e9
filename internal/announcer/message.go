package announcer

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping requests an Ack.
	Ping Kind = iota + 1
	// Ack acknowledges a Ping or an IndirectPing.
	Ack
	// IndirectPing requests that the receiver ping the target and relay its Ack.
	IndirectPing
	// Notice carries updates and requests no response.
	Notice
)

// Message is one datagram between nodes.
type Message struct {
	Kind Kind
	// Sequence matches an Ack to its Ping or IndirectPing.
	Sequence uint64
	Sender   Member
	// Target is the receiver or, in an IndirectPing, the member to be pinged. Only its ID
	// is set, and in an IndirectPing its Address. A Ping whose Target has no ID is
	// acknowledged by any node.
	Target Member
	// Revision is the head revision of the sender's documents.
	Revision uint64
	// Updates are gossiped member records.
	Updates []Member
	// CrashSuspects are encoded records of requests suspected of crashing endpoints.
	CrashSuspects [][]byte
}

// SyncRequest compares the members of two nodes. The first request of a sync carries a
// digest, the second the records that the response to the first lacked.
type SyncRequest struct {
	Sender  Member
	Digest  []uint64
	Members []Member
}

// SyncResponse holds the responding node's members in the buckets whose digests differ.
type SyncResponse struct {
	Members []Member
	Buckets []int
}
