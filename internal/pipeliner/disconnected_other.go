//go:build !linux

package pipeliner

import "net"

// hasDisconnected reports false: only on Linux is a disconnect known before all bytes have been read.
func hasDisconnected(net.Conn) bool { return false }
