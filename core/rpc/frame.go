// Package rpc carries JSON-RPC 2.0 between the processes of the fleet: framed,
// authenticated with the fleet key, compressed, and counted in bytes.
package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"
)

// MaxFrame bounds the bytes of one message, before and after compression.
const MaxFrame = 64 << 20

// compressFrom is the size in bytes from which messages are compressed; the
// preset dictionary makes even short messages smaller.
const compressFrom = 48

// queueBytes bounds the messages waiting to be written to one connection. A
// peer that reads more slowly than that is disconnected and resumes later.
const queueBytes = 32 << 20

const (
	flagPlain = 0
	flagZstd  = 1
)

// ErrSlowPeer ends a connection whose peer does not read its messages.
var ErrSlowPeer = errors.New("peer reads too slowly")

// ErrClosed is returned after the connection is closed.
var ErrClosed = errors.New("connection is closed")

// Bytes counts the traffic of connections, frame headers included.
type Bytes struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// stream implements jsonrpc2.ObjectStream. Writes are queued and written by one
// goroutine, so that a slow peer never holds up a worker.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	bytes *Bytes

	// mu guards the write queue. It is a leaf lock below all ranks: nothing is
	// called while it is held.
	mu     sync.Mutex
	wake   *sync.Cond
	queue  [][]byte
	queued int
	closed bool
	done   chan struct{}
}

func newStream(c net.Conn, b *Bytes) *stream {
	s := &stream{conn: c, r: bufio.NewReaderSize(c, 4096), bytes: b, done: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.writeLoop()
	return s
}

// WriteObject queues one message.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	frame, err := encodeFrame(body)
	if err != nil {
		return err
	}
	return s.push(frame)
}

// push queues one frame.
func (s *stream) push(frame []byte) error {
	err := s.enqueue(frame)
	if errors.Is(err, ErrSlowPeer) {
		// The writing goroutine is blocked in the socket; only Close frees it.
		_ = s.Close()
	}
	return err
}

func (s *stream) enqueue(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.queued+len(frame) > queueBytes {
		return ErrSlowPeer
	}
	s.queue = append(s.queue, frame)
	s.queued += len(frame)
	s.wake.Signal()
	return nil
}

// ReadObject reads the next message into v. It blocks.
func (s *stream) ReadObject(v any) error {
	body, n, err := readFrame(s.r)
	s.bytes.Received.Add(uint64(n))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// Close ends the connection; messages not yet written are lost.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	return s.conn.Close()
}

func (s *stream) writeLoop() {
	defer close(s.done)
	for {
		batch, ok := s.next()
		if !ok {
			_ = s.conn.Close()
			return
		}
		n, err := batch.WriteTo(s.conn)
		s.bytes.Sent.Add(uint64(n))
		if err != nil {
			_ = s.Close()
			return
		}
	}
}

// next waits for queued frames and takes them all.
func (s *stream) next() (net.Buffers, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.wake.Wait()
	}
	if s.closed {
		return nil, false
	}
	batch := net.Buffers(s.queue)
	s.queue, s.queued = nil, 0
	return batch, true
}

// encodeFrame returns length (uvarint of flag and body), flag byte and body.
func encodeFrame(body []byte) ([]byte, error) {
	flag := byte(flagPlain)
	if len(body) >= compressFrom {
		if z := encoder().EncodeAll(body, make([]byte, 0, len(body))); len(z) < len(body) {
			body, flag = z, flagZstd
		}
	}
	if len(body) > MaxFrame {
		return nil, errors.Newf("message of %d bytes exceeds the limit of %d", len(body), MaxFrame)
	}
	frame := make([]byte, 0, len(body)+binary.MaxVarintLen32+1)
	frame = binary.AppendUvarint(frame, uint64(len(body)+1))
	frame = append(frame, flag)
	return append(frame, body...), nil
}

// readFrame reads one frame and returns its plain body and its size on the wire.
func readFrame(r *bufio.Reader) (body []byte, wire int, err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if size == 0 || size > MaxFrame {
		return nil, 1, errors.Newf("frame length %d is outside 1..%d", size, MaxFrame)
	}
	wire = len(binary.AppendUvarint(nil, size)) + int(size)
	flag, err := r.ReadByte()
	if err != nil {
		return nil, 1, unexpected(err)
	}
	raw, err := readAll(r, int(size)-1)
	if err != nil {
		return nil, 1, unexpected(err)
	}
	switch flag {
	case flagPlain:
		return raw, wire, nil
	case flagZstd:
		plain, err := decoder().DecodeAll(raw, nil)
		return plain, wire, errors.Wrap(err, "decompress frame")
	}
	return nil, wire, errors.Newf("frame flag %d is unknown", flag)
}

// readAll reads n bytes and allocates as they arrive, so that a hostile length
// costs no memory.
func readAll(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	if n <= step {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(b) < n {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(64<<10), zstd.WithEncoderConcurrency(2),
		zstd.WithEncoderCRC(false), zstd.WithSingleSegment(true), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		panic(errors.Wrap(err, "zstd encoder")) // constant options: fails in every run or in none
	}
	return e
})

var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxFrame), zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		panic(errors.Wrap(err, "zstd decoder")) // constant options: fails in every run or in none
	}
	return d
})
