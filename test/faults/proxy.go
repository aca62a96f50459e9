// Package faults runs TCP proxies in the test process. Stopping a proxy simulates a network
// failure between a node and another process.
package faults

import (
	"net/netip"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// Proxy forwards TCP connections from Listen to Upstream. Set the exported fields before Start.
type Proxy struct {
	Name     string
	Listen   netip.AddrPort
	Upstream netip.AddrPort

	proxy *toxiproxy.Proxy
}

// Start listens and begins to forward connections.
func (p *Proxy) Start() error {
	p.proxy = toxiproxy.NewProxy()
	p.proxy.Name = p.Name
	p.proxy.Listen = p.Listen.String()
	p.proxy.Upstream = p.Upstream.String()
	return p.proxy.Start()
}

// Stop closes the listener and all forwarded connections.
func (p *Proxy) Stop() {
	p.proxy.Stop()
}
