package announcer

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an ack.
	Ping Kind = iota + 1
	// Ack answers a ping.
	Ack
	// IndirectPing asks the receiver to ping the target and pass its ack on.
	IndirectPing
	// Notice carries news and asks for no answer.
	Notice
)

// Message is one datagram between nodes.
type Message struct {
	Kind Kind
	// Sequence pairs an ack with the ping or the indirect ping.
	Sequence uint64
	Sender   Member
	// Target is the member that a ping or an indirect ping is meant for. Only ID
	// and Address are set; an empty ID is whoever has the address.
	Target Member
	// Revision is the head revision of the sender's documents.
	Revision uint64
	Updates  []Member
	// Suspects are encoded records of requests that crash endpoints.
	Suspects [][]byte
}

// SyncRequest compares the members of two nodes. The first request of an exchange
// has a digest, the second the members that the first one's answer lacked.
type SyncRequest struct {
	Sender  Member
	Digest  []uint64
	Members []Member
}

// SyncResponse holds the answering node's members in the buckets whose digest differs.
type SyncResponse struct {
	Members []Member
	Buckets []int
}
