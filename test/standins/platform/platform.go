package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
)

// attribute is a DynamoDB attribute value.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type item map[string]attribute

type rowKey struct {
	partition string
	sort      string
}

// platform holds the rows of the table and the objects of the store.
type platform struct {
	mu      sync.Mutex
	rows    map[rowKey]item
	objects map[string][]byte
}

type getRequest struct {
	Key item
}

type queryRequest struct {
	KeyConditionExpression    string
	ExpressionAttributeValues item
	Limit                     int
}

type write struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type transactRequest struct {
	TransactItems []struct {
		Put    *write
		Delete *write
	}
}

type cancellation struct {
	Code string
}

type failure struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancellation `json:"CancellationReasons,omitempty"`
}

const targetPrefix = "DynamoDB_20120810."

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	target := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	switch target {
	case "":
		p.serveObject(w, r, body)
	case "GetItem":
		serve(w, body, p.get)
	case "Query":
		serve(w, body, p.query)
	case "TransactWriteItems":
		serve(w, body, p.transact)
	default:
		fail(w, "UnknownOperationException", target, nil)
	}
}

func serve[T any](w http.ResponseWriter, body []byte, operation func(w http.ResponseWriter, in T)) {
	var in T
	if err := json.Unmarshal(body, &in); err != nil {
		fail(w, "SerializationException", err.Error(), nil)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	operation(w, in)
}

func fail(w http.ResponseWriter, kind, message string, reasons []cancellation) {
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(failure{
		Type:                "com.amazonaws.dynamodb.v20120810#" + kind,
		Message:             message,
		CancellationReasons: reasons,
	})
}

func (p *platform) get(w http.ResponseWriter, in getRequest) {
	out := map[string]any{}
	if found, ok := p.rows[keyOf(in.Key)]; ok {
		out["Item"] = found
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (p *platform) query(w http.ResponseWriter, in queryRequest) {
	partition := value(in.ExpressionAttributeValues[":p"])
	after := value(in.ExpressionAttributeValues[":s"])
	var keys []rowKey
	for k := range p.rows {
		if k.partition == partition && k.sort > after {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].sort < keys[j].sort })
	if in.Limit > 0 && len(keys) > in.Limit {
		keys = keys[:in.Limit]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, p.rows[k])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Items": items,
		"Count": len(items),
	})
}

func (p *platform) transact(w http.ResponseWriter, in transactRequest) {
	reasons := make([]cancellation, len(in.TransactItems))
	failed := false
	for i, t := range in.TransactItems {
		reasons[i].Code = "None"
		if !p.holds(t.Put) || !p.holds(t.Delete) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		fail(w, "TransactionCanceledException", "a condition does not hold", reasons)
		return
	}
	for _, t := range in.TransactItems {
		if t.Put != nil {
			p.rows[keyOf(t.Put.Item)] = t.Put.Item
		}
		if t.Delete != nil {
			delete(p.rows, keyOf(t.Delete.Key))
		}
	}
	_, _ = io.WriteString(w, "{}")
}

// holds evaluates the two forms of conditions that gentianlever sends.
func (p *platform) holds(wr *write) bool {
	if wr == nil || wr.ConditionExpression == "" {
		return true
	}
	k := keyOf(wr.Item)
	if wr.Item == nil {
		k = keyOf(wr.Key)
	}
	found, exists := p.rows[k]
	switch wr.ConditionExpression {
	case "attribute_not_exists(pk)":
		return !exists
	case "ver = :v":
		return exists && value(found["ver"]) == value(wr.ExpressionAttributeValues[":v"])
	default:
		return false
	}
}

func keyOf(i item) rowKey {
	return rowKey{
		partition: value(i["pk"]),
		sort:      value(i["sk"]),
	}
}

func value(a attribute) string {
	switch {
	case a.S != nil:
		return *a.S
	case a.N != nil:
		return *a.N
	default:
		return ""
	}
}

func (p *platform) serveObject(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.Method {
	case http.MethodPut:
		p.objects[r.URL.Path] = body
	case http.MethodGet:
		b, ok := p.objects[r.URL.Path]
		if !ok {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "<Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>")
			return
		}
		_, _ = w.Write(b)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
