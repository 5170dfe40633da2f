package rpc

import (
	stdjson "encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

// Message is an encoded and compressed message without an answer. It is immutable
// and may be sent on any number of connections.
type Message struct {
	frame []byte
	// Plain is the number of bytes of the parameters before compression.
	Plain int
}

// NewMessage encodes a message. Encoding a large one takes milliseconds of processor
// time, so one that goes to many nodes is encoded once.
func NewMessage(method string, params any) (*Message, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", method)
	}
	body, err := stdjson.Marshal(method)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", method)
	}
	body = append([]byte(`{"jsonrpc":"2.0","method":`), body...)
	body = append(append(append(body, `,"params":`...), raw...), '}')
	frame, err := encodeFrame(body)
	if err != nil {
		return nil, err
	}
	return &Message{frame: frame, Plain: len(raw)}, nil
}

// Send queues an encoded message. It never waits for the network.
func (c *Conn) Send(m *Message) error { return c.stream.push(m.frame) }
