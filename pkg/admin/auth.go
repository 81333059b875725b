package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/gofiber/fiber/v3"
)

// Role is the role of the sender of a request.
type Role string

// The roles. Each has its own credential in the settings.
const (
	Operator Role = "operator"
	Customer Role = "customer"
)

// roleKey is the key of the Role in the request's locals.
const roleKey = "role"

// authenticate determines the role from the bearer credential. It always compares both credentials, so that the response
// time does not reveal which one nearly matched.
func (s *Server) authenticate(c fiber.Ctx) error {
	credential, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return fiber.NewError(fiber.StatusUnauthorized, "a bearer credential is required")
	}
	isOperator := equalSecrets(credential, s.Credentials.Operator)
	isCustomer := equalSecrets(credential, s.Credentials.Customer)
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

// requestRole returns the role that authenticate stored in the request's locals.
func requestRole(c fiber.Ctx) Role {
	r, _ := c.Locals(roleKey).(Role)
	return r
}

// equalSecrets compares two secrets in a time that does not depend on their contents or lengths.
func equalSecrets(a, b string) bool {
	hashA, hashB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}
