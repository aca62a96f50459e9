package simulator

import (
	"encoding/json"
	"net/http"
	"sort"
)

// Limits of the table service.
const (
	// maxPageBytes is the size after which a query ends its page.
	maxPageBytes = 1 << 20
	// maxItemBytes is the largest item.
	maxItemBytes = 400 << 10
	// maxTransactItems is the largest number of writes of one transaction.
	maxTransactItems = 100
)

const contentJSON = "application/x-amz-json-1.0"

// attribute is a DynamoDB attribute value.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type item map[string]attribute

func (i item) size() int {
	n := 0
	for name, a := range i {
		n += len(name) + len(value(a)) + len(a.B)
	}
	return n
}

type rowKey struct {
	partition string
	sort      string
}

func (k rowKey) item() item {
	return item{
		"pk": attribute{S: &k.partition},
		"sk": attribute{S: &k.sort},
	}
}

type getRequest struct {
	Key item
}

type queryRequest struct {
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

type write struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

func (w *write) key() rowKey {
	if w.Item != nil {
		return keyOf(w.Item)
	}
	return keyOf(w.Key)
}

type transactItem struct {
	Put    *write
	Delete *write
}

func (t transactItem) write() *write {
	if t.Put != nil {
		return t.Put
	}
	return t.Delete
}

type transactRequest struct {
	TransactItems []transactItem
}

type cancellation struct {
	Code string
}

type failure struct {
	Type                string         `json:"__type"`
	Message             string         `json:"message"`
	CancellationReasons []cancellation `json:"CancellationReasons,omitempty"`
}

func decodeAs[T any](body []byte, build func(in T) (operation, *response)) (operation, *response) {
	var in T
	if err := json.Unmarshal(body, &in); err != nil {
		return operation{}, fail("SerializationException", err.Error(), nil)
	}
	return build(in)
}

func encode(status int, v any) response {
	body, err := json.Marshal(v)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{
		status:      status,
		contentType: contentJSON,
		body:        body,
	}
}

func fail(kind, message string, reasons []cancellation) *response {
	resp := encode(http.StatusBadRequest, failure{
		Type:                "com.amazonaws.dynamodb.v20120810#" + kind,
		Message:             message,
		CancellationReasons: reasons,
	})
	return &resp
}

func get(in getRequest) (operation, *response) {
	k := keyOf(in.Key)
	return operation{
		partitions: []string{k.partition},
		apply: func(d *data) response {
			out := map[string]item{}
			if found, ok := d.rows[k]; ok {
				out["Item"] = found
			}
			return encode(http.StatusOK, out)
		},
	}, nil
}

func query(in queryRequest) (operation, *response) {
	partition := value(in.ExpressionAttributeValues[":p"])
	return operation{
		partitions: []string{partition},
		apply:      func(d *data) response { return d.query(partition, in) },
	}, nil
}

// query returns one page: at most in.Limit items and about maxPageBytes.
func (d *data) query(partition string, in queryRequest) response {
	after := max(value(in.ExpressionAttributeValues[":s"]), keyOf(in.ExclusiveStartKey).sort)
	var keys []rowKey
	for k := range d.rows {
		if k.partition == partition && k.sort > after {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].sort < keys[j].sort })
	items, size := []item{}, 0
	for _, k := range keys {
		if size >= maxPageBytes || in.Limit > 0 && len(items) == in.Limit {
			break
		}
		items = append(items, d.rows[k])
		size += d.rows[k].size()
	}
	out := map[string]any{
		"Items": items,
		"Count": len(items),
	}
	if len(items) < len(keys) {
		out["LastEvaluatedKey"] = keys[len(items)-1].item()
	}
	return encode(http.StatusOK, out)
}

func transact(in transactRequest) (operation, *response) {
	op := operation{write: true}
	seen := map[rowKey]bool{}
	for _, t := range in.TransactItems {
		w := t.write()
		if w == nil || seen[w.key()] || w.Item.size() > maxItemBytes {
			return operation{}, fail("ValidationException", "unsupported, repeated or too large item", nil)
		}
		seen[w.key()] = true
		op.partitions = append(op.partitions, w.key().partition)
	}
	if len(seen) == 0 || len(seen) > maxTransactItems {
		return operation{}, fail("ValidationException", "number of items", nil)
	}
	op.apply = func(d *data) response { return d.transact(in.TransactItems) }
	return op, nil
}

// transact checks all conditions and then applies all writes.
func (d *data) transact(items []transactItem) response {
	reasons := make([]cancellation, len(items))
	var conflicts []string
	for i, t := range items {
		reasons[i].Code = "None"
		if w := t.write(); !d.holds(w) {
			reasons[i].Code = "ConditionalCheckFailed"
			conflicts = append(conflicts, w.key().partition)
		}
	}
	if len(conflicts) > 0 {
		resp := fail("TransactionCanceledException", "a condition does not hold", reasons)
		resp.conflicts = conflicts
		return *resp
	}
	for _, t := range items {
		if t.Put != nil {
			d.rows[t.Put.key()] = t.Put.Item
		} else {
			delete(d.rows, t.Delete.key())
		}
	}
	return encode(http.StatusOK, struct{}{})
}

// holds evaluates the two forms of conditions that gentianlever sends.
func (d *data) holds(w *write) bool {
	found, exists := d.rows[w.key()]
	switch w.ConditionExpression {
	case "":
		return true
	case "attribute_not_exists(pk)":
		return !exists
	case "ver = :v":
		return exists && value(found["ver"]) == value(w.ExpressionAttributeValues[":v"])
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
