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

// authenticate finds the role by the bearer credential.
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

// sameSecret compares in a time that does not depend on the contents or the lengths.
func sameSecret(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// requireRole refuses requests of the other role.
func requireRole(role Role) fiber.Handler {
	return func(c fiber.Ctx) error {
		if c.Locals(roleKey) != role {
			return fiber.NewError(fiber.StatusForbidden, "only the "+string(role)+" may do this")
		}
		return c.Next()
	}
}
