package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// Role is who sends a request.
type Role string

// The roles. Each has a credential of its own in the settings.
const (
	Operator Role = "operator"
	Customer Role = "customer"
)

// roleKey is the key of the Role in the request's locals.
const roleKey = "role"

// authenticate finds the role by the bearer credential. Both credentials are always compared, so that the time of the answer
// does not tell which one was close.
func (s *Server) authenticate(c fiber.Ctx) error {
	credential, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return fiber.NewError(fiber.StatusUnauthorized, "a bearer credential is required")
	}
	isOperator := sameSecret(credential, s.Credentials.Operator)
	isCustomer := sameSecret(credential, s.Credentials.Customer)
	switch {
	case isOperator:
		c.Locals(roleKey, Operator)
	case isCustomer:
		c.Locals(roleKey, Customer)
	default:
		return fiber.NewError(fiber.StatusUnauthorized, "unknown credential")
	}
	return c.Next()
}

func role(c fiber.Ctx) Role {
	r, _ := c.Locals(roleKey).(Role)
	return r
}

// sameSecret compares in a time that does not depend on the contents or the lengths.
func sameSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
