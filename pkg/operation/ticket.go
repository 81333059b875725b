package operation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// Errors of tickets.
var (
	// ErrTicketMalformed reports a ticket that is truncated or not in the ticket format.
	ErrTicketMalformed = errors.New("operation ticket malformed")
	// ErrTicketForged reports a ticket whose signature does not match.
	ErrTicketForged = errors.New("operation ticket signature invalid")
	// ErrTicketExpired reports a ticket whose lifetime has passed on its issuer's clock.
	ErrTicketExpired = errors.New("operation ticket expired")
	// ErrTicketForeign reports a ticket of another VM or of another incarnation of this one.
	ErrTicketForeign = errors.New("operation ticket issued elsewhere")
)

const (
	// ticketPrefix separates tickets from own keys. The digit is the format version.
	ticketPrefix = "hbt1."
	// ticketSignatureLength is the truncated length of the HMAC-SHA256 in bytes.
	ticketSignatureLength = 16
	// maxVMLength is the longest VM id in bytes; its length is one byte in the ticket.
	maxVMLength = 255
	// maxTicketLength bounds what is decoded: prefix, 3 integers, address and VM id, in base64url.
	maxTicketLength = 480
	// signingContext separates the ticket key from other uses of the peer secret.
	signingContext = "hornbeamway operation ticket v1"
)

// Ticket is a signed right to start one operation on one VM incarnation.
type Ticket struct {
	// VM and Incarnation name the only process that may run the operation.
	VM          string
	Incarnation uint64
	// Forward is that VM's forward address.
	Forward netip.AddrPort
	// Index is unique among the tickets of the incarnation.
	Index uint64
	// Expiry is the end of the lifetime in milliseconds since the incarnation's issuer started, on its monotonic clock.
	Expiry uint64
}

// Codec signs and parses tickets. It is safe for concurrent use.
type Codec struct{ key []byte }

// NewCodec returns a codec with a key derived from the peer secret of the settings.
func NewCodec(peerSecret string) *Codec {
	mac := hmac.New(sha256.New, []byte(peerSecret))
	mac.Write([]byte(signingContext))
	return &Codec{key: mac.Sum(nil)}
}

// IsTicket reports whether key has the prefix of a ticket. Such a key is never an own key.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// Encode returns the signed text of t. VM ids longer than 255 bytes are an error.
func (c *Codec) Encode(t Ticket) (string, error) {
	if len(t.VM) == 0 || len(t.VM) > maxVMLength || !t.Forward.IsValid() || t.Forward.Addr().Zone() != "" {
		return "", errors.Newf("operation ticket: VM id %q or address %s cannot be encoded", t.VM, t.Forward)
	}
	b := make([]byte, 0, 64)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.AppendUvarint(b, t.Index)
	b = binary.AppendUvarint(b, t.Expiry)
	address := t.Forward.Addr().AsSlice()
	b = append(b, byte(len(address)))
	b = append(b, address...)
	b = binary.BigEndian.AppendUint16(b, t.Forward.Port())
	b = append(b, t.VM...)
	b = append(b, c.sign(b)...)
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(b), nil
}

func (c *Codec) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(payload)
	return mac.Sum(nil)[:ticketSignatureLength]
}

// Parse checks the signature of a ticket and returns its content. Errors: ErrTicketMalformed, ErrTicketForged.
func (c *Codec) Parse(text string) (Ticket, error) {
	if !IsTicket(text) || len(text) > maxTicketLength {
		return Ticket{}, ErrTicketMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text[len(ticketPrefix):])
	if err != nil || len(raw) <= ticketSignatureLength {
		return Ticket{}, ErrTicketMalformed
	}
	payload, signature := raw[:len(raw)-ticketSignatureLength], raw[len(raw)-ticketSignatureLength:]
	if !hmac.Equal(signature, c.sign(payload)) {
		return Ticket{}, ErrTicketForged
	}
	return decodeTicket(payload)
}

func decodeTicket(b []byte) (Ticket, error) {
	var t Ticket
	if len(b) < 8 {
		return t, ErrTicketMalformed
	}
	t.Incarnation, b = binary.BigEndian.Uint64(b), b[8:]
	for _, field := range []*uint64{&t.Index, &t.Expiry} {
		value, n := binary.Uvarint(b)
		if n <= 0 {
			return t, ErrTicketMalformed
		}
		*field, b = value, b[n:]
	}
	if len(b) < 1 || len(b) < 1+int(b[0])+2 {
		return t, ErrTicketMalformed
	}
	address, ok := netip.AddrFromSlice(b[1 : 1+int(b[0])])
	if !ok {
		return t, ErrTicketMalformed
	}
	b = b[1+int(b[0]):]
	t.Forward = netip.AddrPortFrom(address, binary.BigEndian.Uint16(b))
	t.VM = string(b[2:])
	if t.VM == "" || len(t.VM) > maxVMLength {
		return t, ErrTicketMalformed
	}
	return t, nil
}

// Self identifies this process to the package.
type Self struct {
	// VM is the id in the VM list; Incarnation is random per process start.
	VM          string
	Incarnation uint64
	// Forward is the forward address that other entry VMs use.
	Forward netip.AddrPort
}

// Issuer hands out tickets of this incarnation and checks them on its own clock. It is safe for concurrent use.
type Issuer struct {
	codec *Codec
	clock clock.Clock
	self  Self
	start time.Time
	next  atomic.Uint64
}

// NewIssuer returns an issuer of tickets for the process self.
func NewIssuer(codec *Codec, c clock.Clock, self Self) *Issuer {
	return &Issuer{codec: codec, clock: c, self: self, start: c.Now()}
}

// Issue returns a new ticket.
func (i *Issuer) Issue() (string, error) {
	expiry := i.clock.Now().Add(TicketLifetime).Sub(i.start)
	return i.codec.Encode(Ticket{
		VM:          i.self.VM,
		Incarnation: i.self.Incarnation,
		Forward:     i.self.Forward,
		Index:       i.next.Add(1),
		Expiry:      uint64(expiry.Milliseconds()),
	})
}

// Check reports whether this process may start the operation of t at now. Errors: ErrTicketForeign, ErrTicketExpired.
func (i *Issuer) Check(t Ticket, now time.Time) error {
	if !i.issued(t) {
		return ErrTicketForeign
	}
	if elapsed := now.Sub(i.start); elapsed < 0 || uint64(elapsed.Milliseconds()) >= t.Expiry {
		return ErrTicketExpired
	}
	return nil
}

func (i *Issuer) issued(t Ticket) bool {
	return t.VM == i.self.VM && t.Incarnation == i.self.Incarnation
}
