package pipeliner

import (
	"net"
	"syscall"
)

// tcpEstablished is the state of a connection that neither side has closed. It is the first byte of
// the structure tcp_info.
const tcpEstablished = 1

// hasDisconnected reports whether the peer has closed a connection, also if bytes of it are unread.
func hasDisconnected(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		disconnected = err == nil && info&0xff != tcpEstablished
	})
	return disconnected || err != nil
}
