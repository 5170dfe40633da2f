// Package rpc transports JSON-RPC 2.0 between the processes of the fleet. Connections are
// authenticated with the fleet key; messages are framed and compressed, and their bytes are
// counted.
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

// MaxFrameBytes is the maximum size of a message. A message that is larger after compression is not
// sent; one that is larger before or after compression is an error at the receiver.
const MaxFrameBytes = 64 << 20

// minCompressBytes is the minimum size of messages that are compressed. It can be this low because the
// preset dictionary makes even short messages smaller.
const minCompressBytes = 48

// maxQueueBytes is the maximum size of the messages that are queued for one connection. If a peer
// reads so slowly that the queue would grow further, the connection is closed; the peer reconnects
// later.
const maxQueueBytes = 32 << 20

// Values of the flag byte of a frame.
const (
	flagPlain = 0 // the body is not compressed
	flagZstd  = 1
)

// ErrSlowPeer is returned when the write queue is full because the peer reads too slowly. The
// connection is then closed.
var ErrSlowPeer = errors.New("peer reads too slowly")

// ErrClosed is returned after the connection is closed.
var ErrClosed = errors.New("connection is closed")

// TrafficCounters counts the bytes sent and received on connections after the handshake, including
// frame headers. Received grows while a frame is being received.
type TrafficCounters struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
	// Awaiting is set while the connection waits for bytes of the peer, and not while a message is decoded or
	// passed to its handler. Until then, a missing answer says nothing about the peer.
	Awaiting atomic.Bool
}

// countingReader counts the bytes read from r in traffic.
type countingReader struct {
	r       io.Reader
	traffic *TrafficCounters
}

// Read implements io.Reader.
func (c countingReader) Read(p []byte) (int, error) {
	c.traffic.Awaiting.Store(true)
	n, err := c.r.Read(p)
	c.traffic.Awaiting.Store(false)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// stream implements jsonrpc2.ObjectStream. One goroutine writes the queued messages, so that
// a slow peer never blocks a worker.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *TrafficCounters

	// mu guards the write queue. It is a leaf lock below all lock ranks: no other lock is
	// acquired while it is held.
	mu          sync.Mutex
	wake        *sync.Cond
	queue       [][]byte
	queuedBytes int
	closed      bool
	done        chan struct{}
}

func newStream(c net.Conn, traffic *TrafficCounters) *stream {
	s := &stream{conn: c, reader: bufio.NewReaderSize(countingReader{c, traffic}, 4096), traffic: traffic, done: make(chan struct{})}
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
	return s.enqueueOrClose(frame)
}

// enqueueOrClose queues a frame. It closes the connection if the queue is full.
func (s *stream) enqueueOrClose(frame []byte) error {
	err := s.enqueue(frame)
	if errors.Is(err, ErrSlowPeer) {
		// The writing goroutine is blocked in a write; only Close unblocks it.
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
	if s.queuedBytes+len(frame) > maxQueueBytes {
		return ErrSlowPeer
	}
	s.queue = append(s.queue, frame)
	s.queuedBytes += len(frame)
	s.wake.Signal()
	return nil
}

// ReadObject waits for the next message and decodes it into v.
func (s *stream) ReadObject(v any) error {
	body, err := readFrame(s.reader)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

// Close closes the connection. Queued messages are lost.
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
		batch, ok := s.nextBatch()
		if !ok {
			_ = s.conn.Close()
			return
		}
		n, err := batch.WriteTo(s.conn)
		s.traffic.Sent.Add(uint64(n))
		if err != nil {
			_ = s.Close()
			return
		}
	}
}

// nextBatch waits for queued frames and removes them from the queue. It returns false once
// the stream is closed.
func (s *stream) nextBatch() (net.Buffers, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.wake.Wait()
	}
	if s.closed {
		return nil, false
	}
	batch := net.Buffers(s.queue)
	s.queue, s.queuedBytes = nil, 0
	return batch, true
}

// encodeFrame returns a frame: the length of flag and body as a uvarint, the flag byte and the
// body.
func encodeFrame(body []byte) ([]byte, error) {
	flag := byte(flagPlain)
	if len(body) >= minCompressBytes {
		if compressed := encoder().EncodeAll(body, make([]byte, 0, compressedCapacity(len(body)))); len(compressed) < len(body) {
			body, flag = compressed, flagZstd
		}
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Newf("message of %d bytes exceeds the limit of %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, 0, len(body)+binary.MaxVarintLen32+1)
	frame = binary.AppendUvarint(frame, uint64(len(body)+1))
	frame = append(frame, flag)
	return append(frame, body...), nil
}

// compressedCapacity returns the capacity of the buffer for a compressed body. Long messages hold configurations and
// endpoint sets, which become several times shorter; the buffer grows if one does not.
func compressedCapacity(bodyBytes int) int {
	const short = 4 << 10
	if bodyBytes <= short {
		return bodyBytes
	}
	return bodyBytes / 4
}

// readFrame reads one frame and returns its uncompressed body.
func readFrame(r *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size == 0 || size > MaxFrameBytes {
		return nil, errors.Newf("frame length %d is outside 1..%d", size, MaxFrameBytes)
	}
	flag, err := r.ReadByte()
	if err != nil {
		return nil, toUnexpectedEOF(err)
	}
	raw, err := readExactly(r, int(size)-1)
	if err != nil {
		return nil, toUnexpectedEOF(err)
	}
	switch flag {
	case flagPlain:
		return raw, nil
	case flagZstd:
		plain, err := decoder().DecodeAll(raw, nil)
		return plain, errors.Wrap(err, "decompress frame")
	}
	return nil, errors.Newf("frame flag %d is unknown", flag)
}

// readExactly reads n bytes. If n is above maxPreallocBytes, it allocates memory as the bytes arrive,
// so that a hostile length does not exhaust memory.
func readExactly(r io.Reader, n int) ([]byte, error) {
	const maxPreallocBytes = 64 << 10
	if n <= maxPreallocBytes {
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

func toUnexpectedEOF(err error) error {
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
		zstd.WithDecoderMaxMemory(MaxFrameBytes), zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	if err != nil {
		panic(errors.Wrap(err, "zstd decoder")) // constant options: fails in every run or in none
	}
	return d
})
