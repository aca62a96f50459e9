package launcher

import (
	"encoding/json"
	"net/http"
)

// Status is the part of a node's status response that tests and programs need.
type Status struct {
	Documents []DocumentStatus `json:"documents"`
	Members   []MemberStatus   `json:"members"`
}

// DocumentStatus is the version of a service's document that is in effect.
type DocumentStatus struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// MemberStatus is the state of a member as seen by the node that reports it.
type MemberStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Draining is true while the member accepts no new requests.
	Draining bool `json:"draining"`
}

// CountLive counts the members that are alive or suspect.
func (s Status) CountLive() int {
	n := 0
	for _, m := range s.Members {
		if m.State == "alive" || m.State == "suspect" {
			n++
		}
	}
	return n
}

// IsLive reports whether the member is listed as alive or suspect.
func (s Status) IsLive(id string) bool {
	for _, m := range s.Members {
		if m.ID == id {
			return m.State == "alive" || m.State == "suspect"
		}
	}
	return false
}

// ReadStatus fetches a node's status from its administration API.
func ReadStatus(n *Node) (Status, error) {
	var st Status
	resp, err := http.Get("http://" + n.AdminAddress.String() + "/v1/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
