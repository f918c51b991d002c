package controlplane

import (
	"log/slog"
	"sync"
	"time"

	"madderwing/internal/transport"
)

// cutLinks holds the links between control nodes that are cut, by sender and receiver address.
var cutLinks sync.Map

// CutLink cuts the link from one control node to another until RestoreLinks is called. Messages are
// dropped at the receiver.
func CutLink(from, to string) { cutLinks.Store([2]string{from, to}, true) }

// droppedKinds holds the kinds of message that are dropped, by address of the sender.
var droppedKinds sync.Map

// DropMessages drops, at the receivers, all messages of a kind that a control node sends. The node
// still receives messages and answers calls.
func DropMessages(from, kind string) { droppedKinds.Store([2]string{from, kind}, true) }

// RestoreLinks undoes all calls of CutLink and DropMessages.
func RestoreLinks() {
	cutLinks.Clear()
	droppedKinds.Clear()
}

type linkCutError struct{}

func (linkCutError) Error() string { return "cut" }

func init() {
	newEndpoint = func(address string, timeout time.Duration, logger *slog.Logger) (*transport.Endpoint, error) {
		endpoint, err := transport.New(address, timeout, logger)
		if err != nil {
			return nil, err
		}
		endpoint.Intercept = func(kind string, next transport.Handler) transport.Handler {
			return func(from string, body []byte) (any, error) {
				if _, dropped := droppedKinds.Load([2]string{from, kind}); dropped {
					return nil, linkCutError{}
				}
				if _, cut := cutLinks.Load([2]string{from, address}); cut {
					return nil, linkCutError{}
				}
				out, err := next(from, body)
				if _, cut := cutLinks.Load([2]string{address, from}); cut {
					return nil, linkCutError{} // the answer does not arrive
				}
				return out, err
			}
		}
		return endpoint, nil
	}
}
