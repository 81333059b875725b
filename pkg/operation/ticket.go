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

// Errors of ticket parsing and checks.
var (
	// ErrTicketMalformed reports a ticket that is truncated or not in the ticket format.
	ErrTicketMalformed = errors.New("operation ticket malformed")
	// ErrTicketSignatureInvalid reports a ticket whose signature does not match.
	ErrTicketSignatureInvalid = errors.New("operation ticket signature invalid")
	// ErrTicketExpired reports a ticket whose lifetime has ended on its issuer's clock.
	ErrTicketExpired = errors.New("operation ticket expired")
	// ErrTicketOtherIssuer reports a ticket that was issued by another VM or another incarnation of this VM.
	ErrTicketOtherIssuer = errors.New("operation ticket issued by another process")
)

const (
	// ticketPrefix distinguishes tickets from caller keys. The digit is the format version.
	ticketPrefix = "hbt1."
	// ticketSignatureLength is the length in bytes to which the HMAC-SHA256 is truncated.
	ticketSignatureLength = 16
	// maxVMLength is the maximum length of a VM id in bytes; its length is one byte in the ticket.
	maxVMLength = 255
	// maxTicketLength is the maximum length of a ticket that is decoded: prefix, 3 integers, address and VM id, in base64url.
	maxTicketLength = 480
	// signingContext distinguishes the ticket key from other keys derived from the peer secret.
	signingContext = "hornbeamway operation ticket v1"
)

// Ticket permits its holder to start one operation on one VM incarnation.
type Ticket struct {
	// VM and Incarnation identify the only process that may run the operation.
	VM          string
	Incarnation uint64
	// Forward is that VM's forward address.
	Forward netip.AddrPort
	// Index is unique among the tickets of the incarnation.
	Index uint64
	// Expiry is the end of the lifetime in milliseconds since the start of the incarnation's issuer, on its monotonic clock.
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

// IsTicket reports whether key has the prefix of a ticket. Such a key is never a caller key.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// Encode returns the signed text of t. It fails if the VM id is empty or longer than 255 bytes, or if the forward address is
// invalid or has a zone.
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

// Parse checks the signature of a ticket and returns its content. Errors: ErrTicketMalformed, ErrTicketSignatureInvalid.
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
		return Ticket{}, ErrTicketSignatureInvalid
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
	// VM is the id in the VM list; Incarnation is chosen at random at each process start.
	VM          string
	Incarnation uint64
	// Forward is the forward address that other entry VMs use.
	Forward netip.AddrPort
}

// Issuer issues tickets of this incarnation and checks them against its own clock. It is safe for concurrent use.
type Issuer struct {
	codec *Codec
	clock clock.Clock
	self  Self
	start time.Time
	next  atomic.Uint64
}

// NewIssuer returns an issuer for the process self. The expiry of its tickets is measured from now on.
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

// Check returns nil if this process may start the operation of t at now. Errors: ErrTicketOtherIssuer, ErrTicketExpired.
func (i *Issuer) Check(t Ticket, now time.Time) error {
	if !i.issued(t) {
		return ErrTicketOtherIssuer
	}
	if elapsed := now.Sub(i.start); elapsed < 0 || uint64(elapsed.Milliseconds()) >= t.Expiry {
		return ErrTicketExpired
	}
	return nil
}

// issued reports whether t names this process as its issuer.
func (i *Issuer) issued(t Ticket) bool {
	return t.VM == i.self.VM && t.Incarnation == i.self.Incarnation
}
