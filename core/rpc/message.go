package rpc

import (
	stdjson "encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

// Message is an encoded and compressed notification. It is immutable and can be sent on any
// number of connections.
type Message struct {
	frame []byte
	// PlainBytes is the size of the encoded parameters in bytes, before compression.
	PlainBytes int
}

// NewMessage encodes a notification for Conn.Send. It is used instead of Conn.Notify for a message
// that is sent to many processes, since encoding a large message takes milliseconds of CPU time, or that is large:
// Notify makes several copies of it.
func NewMessage(method string, params any) (*Message, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", method)
	}
	name, err := stdjson.Marshal(method)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", method)
	}
	const head, middle = `{"jsonrpc":"2.0","method":`, `,"params":`
	body := make([]byte, 0, len(head)+len(name)+len(middle)+len(raw)+1)
	body = append(append(append(body, head...), name...), middle...)
	body = append(append(body, raw...), '}')
	frame, err := encodeFrame(body)
	if err != nil {
		return nil, err
	}
	return &Message{frame: frame, PlainBytes: len(raw)}, nil
}

// Send queues an encoded message without waiting for the network.
func (c *Conn) Send(m *Message) error { return c.stream.enqueueOrClose(m.frame) }
