// Package faults starts fault-injecting TCP proxies for the integration tests.
package faults

import (
	"net/netip"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// Proxy forwards TCP connections and injects faults. Set the exported fields before
// Start.
type Proxy struct {
	Name     string
	Listen   netip.AddrPort
	Upstream netip.AddrPort

	proxy *toxiproxy.Proxy
}

// Start opens the proxy.
func (p *Proxy) Start() error {
	p.proxy = toxiproxy.NewProxy()
	p.proxy.Name = p.Name
	p.proxy.Listen = p.Listen.String()
	p.proxy.Upstream = p.Upstream.String()
	return p.proxy.Start()
}

// Stop closes the proxy and cuts its connections.
func (p *Proxy) Stop() {
	p.proxy.Stop()
}
