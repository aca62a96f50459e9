// Package faults runs TCP proxies in the test process. Stopping a proxy simulates a network
// failure between a node and another process.
package faults

import (
	"fmt"
	"io"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// Proxy forwards TCP connections from Listen to Upstream. Set the exported fields before Start.
type Proxy struct {
	Name     string
	Listen   netip.AddrPort
	Upstream netip.AddrPort
	// KilobytesPerSecond limits the rate of the bytes that Upstream sends on each connection;
	// zero means no limit.
	KilobytesPerSecond int64

	proxy *toxiproxy.Proxy
}

// Start listens and begins to forward connections.
func (p *Proxy) Start() error {
	p.proxy = toxiproxy.NewProxy()
	p.proxy.Name = p.Name
	p.proxy.Listen = p.Listen.String()
	p.proxy.Upstream = p.Upstream.String()
	if p.KilobytesPerSecond > 0 {
		if _, err := p.proxy.Toxics.AddToxicJson(limitRate(p.KilobytesPerSecond)); err != nil {
			return err
		}
	}
	return p.proxy.Start()
}

// limitRate returns the description of a toxic that limits the rate of a proxy.
func limitRate(kilobytesPerSecond int64) io.Reader {
	return strings.NewReader(fmt.Sprintf(`{"name":"rate","type":"bandwidth","stream":"downstream","attributes":{"rate":%d}}`, kilobytesPerSecond))
}

// Stop closes the listener and all forwarded connections.
func (p *Proxy) Stop() {
	p.proxy.Stop()
}
