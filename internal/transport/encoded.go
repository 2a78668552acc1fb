package transport

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"slices"
	"sync"
)

// Encoded is a message that is encoded once and can be sent on any number of
// connections, for data that many peers receive. It is immutable, and the
// message must not be changed either.
//
// This relies on two properties of encoding/gob: a type has the same number in
// all encoders of a process, and its descriptors, with those of all types it
// refers to, are sent before its first value. A frame without descriptors is
// therefore valid on every connection that has already sent a message of the
// same type.
type Encoded struct {
	message any
	typ     reflect.Type
	frame   []byte
}

// Encode encodes a message for SendEncoded.
func Encode(message any) (*Encoded, error) {
	typ := messageType(message)
	primed, err := primedEncoder(typ)
	if err != nil {
		return nil, err
	}
	frame, err := primed.frame(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return &Encoded{message: message, typ: typ, frame: frame}, nil
}

// Size returns the size of the frame in bytes.
func (e *Encoded) Size() int { return len(e.frame) }

// SendEncoded writes an encoded message, with the same effect as Send of the
// message itself. On a connection that has not sent this type of message yet,
// the message is encoded again with its descriptors.
func (c *Conn) SendEncoded(encoded *Encoded) error {
	c.sendMutex.Lock()
	defer c.sendMutex.Unlock()
	if !c.sentTypes[encoded.typ] {
		return c.closeOnError("send to", c.sendLocked(encoded.message))
	}
	if size := len(encoded.frame) - headerSize; size > c.options.MaxFrame {
		return c.closeOnError("send to", &FrameTooLargeError{Size: size, Limit: c.options.MaxFrame})
	}
	return c.closeOnError("send to", c.write(encoded.frame))
}

// primed is an encoder that has already emitted the descriptors of its type, so
// that its output holds only values.
type primed struct {
	mutex   sync.Mutex
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// primedEncoders maps each message type to its *primed. It never shrinks, because
// there are few types.
var primedEncoders sync.Map

func primedEncoder(typ reflect.Type) (*primed, error) {
	if known, ok := primedEncoders.Load(typ); ok {
		return known.(*primed), nil
	}
	p := &primed{}
	p.encoder = gob.NewEncoder(&p.buffer)
	if err := p.encoder.EncodeValue(reflect.New(typ)); err != nil {
		return nil, fmt.Errorf("encode descriptors of %v: %w", typ, err)
	}
	known, _ := primedEncoders.LoadOrStore(typ, p)
	return known.(*primed), nil
}

// frame returns a complete frame without type descriptors.
func (p *primed) frame(message any) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	defer resetBuffer(&p.buffer)
	p.buffer.Reset()
	p.buffer.Write(make([]byte, headerSize))
	if err := p.encoder.Encode(message); err != nil {
		return nil, err
	}
	frame := slices.Clone(p.buffer.Bytes())
	putHeader(frame)
	return frame, nil
}
