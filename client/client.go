package client

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	mathrand "math/rand/v2"
)

const (
	defaultAcquireInterval = 250 * time.Millisecond
	defaultWatchWait       = 2 * time.Second
	idleConnectionTimeout  = 30 * time.Second
	idleConnectionsPerNode = 16
	ownerRandomBytes       = 6
	maxOwnerNameBytes      = 24
)

// Options are what a Client may be told beside its endpoints. The zero value is good.
type Options struct {
	// Name begins the owner names that the client makes up. Default: the host's name.
	Name string
	// Transport carries the calls. Default: one of the client's own, which uses no proxy.
	Transport http.RoundTripper
	// AcquireInterval is how often Acquire asks again for a lock that is held.
	// Default: 250 ms.
	AcquireInterval time.Duration
	// WatchWait is how long a node may keep a watch's question unanswered while there are no
	// events. A node that fails in silence delays events by this and a second. Default: 2 s.
	WatchWait time.Duration
}

// Client calls the control nodes. It may be used by many goroutines at once.
type Client struct {
	endpoints       []*url.URL
	preferred       atomic.Int64 // index of the endpoint that is asked first
	http            *http.Client
	acquireInterval time.Duration
	watchWait       time.Duration
	ownerPrefix     string
	ownerCount      atomic.Uint64
}

// New makes a client of the nodes whose control addresses are given, as host:port or as URLs.
func New(endpoints []string, options Options) (*Client, error) {
	c := &Client{
		acquireInterval: options.AcquireInterval,
		watchWait:       options.WatchWait,
		ownerPrefix:     ownerPrefix(options.Name),
	}
	if c.acquireInterval <= 0 {
		c.acquireInterval = defaultAcquireInterval
	}
	if c.watchWait <= 0 {
		c.watchWait = defaultWatchWait
	}
	for _, text := range endpoints {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	if len(c.endpoints) == 0 {
		return nil, errors.New("no endpoints")
	}
	c.preferred.Store(mathrand.Int64N(int64(len(c.endpoints))))
	transport := options.Transport
	if transport == nil {
		transport = newTransport()
	}
	c.http = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func parseEndpoint(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	endpoint, err := url.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	if endpoint.Host == "" || strings.Trim(endpoint.Path, "/") != "" || endpoint.RawQuery != "" {
		return nil, fmt.Errorf("endpoint %q: host:port is wanted", text)
	}
	endpoint.Path = ""
	return endpoint, nil
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: responseTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnectionsPerNode,
		IdleConnTimeout:     idleConnectionTimeout,
		TLSHandshakeTimeout: responseTimeout,
	}
}

// ownerPrefix is different for each client, also on one host and in one process.
func ownerPrefix(name string) string {
	if name == "" {
		name, _ = os.Hostname()
	}
	name = strings.Map(ownerCharacter, name)
	name = name[:min(len(name), maxOwnerNameBytes)]
	random := make([]byte, ownerRandomBytes)
	_, _ = rand.Read(random) // never fails
	return fmt.Sprintf("%s-%d-%s", name, os.Getpid(), hex.EncodeToString(random))
}

// ownerCharacter keeps letters, digits and dashes.
func ownerCharacter(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-':
		return r
	}
	return '-'
}

// newOwner makes up an owner name that was never used before.
func (c *Client) newOwner() string {
	return fmt.Sprintf("%s.%d", c.ownerPrefix, c.ownerCount.Add(1))
}
