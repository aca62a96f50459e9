package forwarder

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// relayBytes is the size of the buffers through which response bodies are copied. A
// response of known length that fits into one is received completely before its first byte
// is sent on.
const relayBytes = 32 << 10

var relayBuffers = sync.Pool{
	New: func() any {
		b := make([]byte, relayBytes)
		return &b
	},
}

// prefetched is a response of which the first bytes are buffered.
type prefetched struct {
	*http.Response
	buffer *[]byte
	first  []byte
	// ended is set if first is the whole body.
	ended bool
}

// prefetch buffers the first bytes of a response: up to relayBytes if the length is known,
// otherwise what the first read returns, so that a streamed response is not delayed.
func prefetch(resp *http.Response) (*prefetched, error) {
	p := &prefetched{Response: resp}
	if resp.Body == http.NoBody {
		p.ended = true
		return p, nil
	}
	p.buffer = relayBuffers.Get().(*[]byte)
	b := *p.buffer
	n := 0
	for n < len(b) {
		m, err := resp.Body.Read(b[n:])
		n += m
		if err == io.EOF {
			p.ended = true
			break
		}
		if err != nil {
			p.close()
			return nil, err
		}
		if n > 0 && resp.ContentLength < 0 {
			break
		}
	}
	p.first = b[:n]
	return p, nil
}

// close closes the response body and returns the buffer to the pool. The connection of a
// body that was not read to its end is closed, too.
func (p *prefetched) close() {
	_ = p.Body.Close()
	if p.buffer != nil {
		relayBuffers.Put(p.buffer)
		p.buffer = nil
	}
}

// relay writes a response to w. readErr is set if reading the response failed, writeErr
// if its receiver disconnected or was too slow. end is the call's deadline.
func relay(w http.ResponseWriter, p *prefetched, end time.Time) (readErr, writeErr error) {
	for name := range p.Trailer {
		w.Header().Add("Trailer", name)
	}
	if _, ok := w.Header()["Content-Type"]; !ok {
		// Keeps the server from detecting a content type from the body.
		w.Header()["Content-Type"] = nil
	}
	controller := http.NewResponseController(w)
	progress := transfer{
		start: time.Now(),
		end:   end.Add(transferGrace),
	}
	_ = controller.SetWriteDeadline(progress.deadline())
	w.WriteHeader(p.StatusCode)
	for b, ended := p.first, p.ended; ; {
		if len(b) > 0 {
			if progress.bytes > 0 {
				_ = controller.SetWriteDeadline(progress.deadline())
			}
			if _, err := w.Write(b); err != nil {
				return nil, err
			}
			progress.bytes += int64(len(b))
		}
		if ended {
			break
		}
		if p.ContentLength < 0 {
			if err := controller.Flush(); err != nil {
				return nil, err
			}
		}
		n, err := p.Body.Read(*p.buffer)
		if err != nil && err != io.EOF {
			return err, nil
		}
		b, ended = (*p.buffer)[:n], err == io.EOF
	}
	for name, values := range p.Trailer {
		w.Header()[name] = values
	}
	return nil, nil
}
