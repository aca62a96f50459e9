package simulator

import (
	"net"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// ReopenableServer is an HTTP server that can be closed and opened again on the same address,
// which refuses connections in between. Set the exported fields before use.
type ReopenableServer struct {
	Address string
	Handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

// Open starts listening. It has no effect on an open server.
func (s *ReopenableServer) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	// If the address had port 0, keep the assigned port for the next Open.
	s.Address = listener.Addr().String()
	s.server = &http.Server{Handler: s.Handler}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	return nil
}

// Close stops listening and closes all connections. It has no effect on a closed server.
func (s *ReopenableServer) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	s.server = nil
	return err
}

// controlListener returns a handler that opens or closes the platform's server.
func (p *Platform) controlListener(change func(*ReopenableServer) error) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if p.Server == nil {
			http.Error(w, "the platform has no server to open or close", http.StatusNotFound)
			return
		}
		if err := change(p.Server); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	}
}
