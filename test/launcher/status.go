package launcher

import (
	"encoding/json"
	"net/http"
)

// Status is what the launcher reads of a node's status.
type Status struct {
	Documents []DocumentStatus `json:"documents"`
	Members   []MemberStatus   `json:"members"`
}

// DocumentStatus is the version of a document in force.
type DocumentStatus struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// MemberStatus is what a node holds a member for.
type MemberStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Draining says that the member takes no new requests.
	Draining bool `json:"draining"`
}

// Present counts the members that have neither failed nor left.
func (s Status) Present() int {
	n := 0
	for _, m := range s.Members {
		if m.State == "alive" || m.State == "suspect" {
			n++
		}
	}
	return n
}

// Lists reports whether a member is listed that has neither failed nor left.
func (s Status) Lists(id string) bool {
	for _, m := range s.Members {
		if m.ID == id {
			return m.State == "alive" || m.State == "suspect"
		}
	}
	return false
}

// ReadStatus asks a node for its status.
func ReadStatus(n *Node) (Status, error) {
	var st Status
	resp, err := http.Get("http://" + n.Admin.String() + "/v1/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
