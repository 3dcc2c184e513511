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
	serverLabel      = "mulberryshunt peer server 1"
	clientLabel      = "mulberryshunt peer client 1"
)

// ErrBadKey means that the peer did not prove that it has the shared key.
var ErrBadKey = errors.New("peer did not prove that it has the shared key")

// The handshake is a mutual challenge-response. Client and server exchange
// nonces, and each proves that it has the key with a MAC over both nonces and a
// label for its own role. The labels prevent reflection attacks, which make a
// side answer its own challenge. Only one side writes at a time, so the
// handshake also works over unbuffered connections.

// handshakeClient performs the client side of the handshake.
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
	if err := checkProof(c, key, serverLabel, other, own); err != nil {
		return err
	}
	if _, err := c.Write(proof(key, clientLabel, own, other)); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// handshakeServer performs the server side of the handshake.
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
	if _, err := c.Write(proof(key, serverLabel, own, other)); err != nil {
		return err
	}
	if err := checkProof(c, key, clientLabel, other, own); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// sendNonce sends a new random nonce and returns it.
func sendNonce(c net.Conn) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	_, err := c.Write(nonce)
	return nonce, err
}

// checkProof reads a proof and returns ErrBadKey unless it is valid.
func checkProof(c net.Conn, key []byte, label string, proverNonce, verifierNonce []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, got); err != nil {
		return errors.Annotate(ErrBadKey, err.Error())
	}
	if !hmac.Equal(got, proof(key, label, proverNonce, verifierNonce)) {
		return ErrBadKey
	}
	return nil
}

// proof returns the MAC with which one side proves that it has the key.
func proof(key []byte, label string, proverNonce, verifierNonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(proverNonce)
	mac.Write(verifierNonce)
	return mac.Sum(nil)
}
