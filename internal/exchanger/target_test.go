package exchanger

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request target that reaches the peer changed.
func TestTargetIsSentByteForByte(t *testing.T) {
	is := is.New(t)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.RequestURI+" ")
		_, _ = io.Copy(w, r.Body)
	}))
	s.Config.DisableGeneralOptionsHandler = true
	s.Start()
	defer s.Close()
	to := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	e := newExchanger()
	for _, target := range []string{
		"/", "/view/7?x=%2f", "//view", "//view//7?", "///", "/a%2Fb", "/\"<>^`{|}", "/?", "/?a=//", "/view?x=y?z", "*",
	} {
		for _, body := range []string{"", "mark"} {
			r := request(http.MethodOptions, body)
			r.RequestURI = target
			got, err := read(t.Context(), e, r, to)
			is.NoErr(err)
			is.Equal(got, target+" "+body)
		}
	}
	for _, target := range []string{"/a b", "/a\r\nX: y", "/\x00"} {
		r := request(http.MethodGet, "")
		r.RequestURI = target
		_, err := read(t.Context(), e, r, to)
		var refused *TargetError
		is.True(errors.As(err, &refused))
	}
}
