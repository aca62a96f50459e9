package conductor

import (
	"io"
	"net/http"
	"time"

	"github.com/gentianlever/gentianlever/internal/collector"
)

const (
	// maxMessageBytes is above the limit of the messages between nodes.
	maxMessageBytes = 2 << 20
	// messageTime bounds the reading of a message.
	messageTime = 10 * time.Second
)

// limitMessageTime limits the time in which the body of a request from another node may arrive.
func limitMessageTime(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Only a ResponseWriter without a connection, as in tests, does not support it.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(messageTime))
	}
}

// serveMessage passes a message to its handler once it was read completely. Its memory is counted,
// because it is authenticated by its content.
func (n *Conductor) serveMessage(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	content, err := n.requestBodies.Collect(r.Context(), collector.Source{
		Body:     r.Body,
		From:     collector.FromNode,
		Length:   r.ContentLength,
		MaxBytes: maxMessageBytes,
		Interrupt: func() {
			// Only a ResponseWriter without a connection, as in tests, does not support it.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		},
	})
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer content.Release()
	r.Body = io.NopCloser(content.Reader())
	handler.ServeHTTP(w, r)
}
