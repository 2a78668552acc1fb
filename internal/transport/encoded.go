package transport

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"slices"
	"sync"
)

// Encoded is a message that was encoded once and can be sent on any number of
// connections, for data that many peers receive. It is immutable; the message
// must not change either.
//
// This rests on two properties of encoding/gob: a type has the same number in
// all encoders of a process, and its descriptors, with those of all types it
// refers to, travel before its first value. A frame without descriptors is
// therefore valid on every connection that has already sent a message of the
// same type.
type Encoded struct {
	message any
	kind    reflect.Type
	frame   []byte
}

// Encode encodes a message for SendEncoded.
func Encode(message any) (*Encoded, error) {
	kind := messageType(message)
	primed, err := primedEncoder(kind)
	if err != nil {
		return nil, err
	}
	frame, err := primed.frame(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return &Encoded{message: message, kind: kind, frame: frame}, nil
}

// Size is the bytes of the frame.
func (e *Encoded) Size() int { return len(e.frame) }

// SendEncoded writes an encoded message, with the same effect as Send of the
// message itself. On a connection that has not sent this type of message yet,
// the message is encoded again with its descriptors.
func (c *Conn) SendEncoded(encoded *Encoded) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	if !c.sentTypes[encoded.kind] {
		return c.finish("send to", c.sendLocked(encoded.message))
	}
	if size := len(encoded.frame) - headerSize; size > c.options.MaxFrame {
		return c.finish("send to", &FrameTooLargeError{Size: size, Limit: c.options.MaxFrame})
	}
	return c.finish("send to", c.write(encoded.frame))
}

// primed is an encoder that has already sent the descriptors of its type.
type primed struct {
	mutex   sync.Mutex
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// primedEncoders holds a *primed for each type, as types are few.
var primedEncoders sync.Map

func primedEncoder(kind reflect.Type) (*primed, error) {
	if known, ok := primedEncoders.Load(kind); ok {
		return known.(*primed), nil
	}
	p := &primed{}
	p.encoder = gob.NewEncoder(&p.buffer)
	if err := p.encoder.EncodeValue(reflect.New(kind)); err != nil {
		return nil, fmt.Errorf("encode descriptors of %v: %w", kind, err)
	}
	known, _ := primedEncoders.LoadOrStore(kind, p)
	return known.(*primed), nil
}

// frame returns a whole frame, descriptors left out.
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
