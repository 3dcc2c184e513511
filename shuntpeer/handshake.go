package shuntpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
	labelServer      = "mulberryshunt peer server 1"
	labelClient      = "mulberryshunt peer client 1"
)

// ErrBadKey says that the other end did not prove the shared key.
var ErrBadKey = errors.New("peer did not prove the shared key")

// The ends exchange nonces, and each proves the key by a MAC over both nonces
// with a label of its own side, so that no end can be made to answer its own
// question. They strictly take turns, so that the exchange also runs over
// connections without buffers.

func handshakeClient(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	own, err := sendNonce(c)
	if err != nil {
		return err
	}
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, other); err != nil {
		return err
	}
	if err := checkProof(c, key, labelServer, other, own); err != nil {
		return err
	}
	if _, err := c.Write(proof(key, labelClient, own, other)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func handshakeServer(c net.Conn, key []byte) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	other := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, other); err != nil {
		return err
	}
	own, err := sendNonce(c)
	if err != nil {
		return err
	}
	if _, err := c.Write(proof(key, labelServer, own, other)); err != nil {
		return err
	}
	if err := checkProof(c, key, labelClient, other, own); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func sendNonce(c net.Conn) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	_, err := c.Write(nonce)
	return nonce, err
}

func checkProof(c net.Conn, key []byte, label string, theirs, ours []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return errors.Annotate(ErrBadKey, err.Error())
	}
	if !hmac.Equal(got, proof(key, label, theirs, ours)) {
		return ErrBadKey
	}
	return nil
}

func proof(key []byte, label string, own, other []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(label))
	m.Write(own)
	m.Write(other)
	return m.Sum(nil)
}
