package vmlist_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

func TestVMList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmlist")
}

// Guards against a list, or an empty one, that is taken from a response which is not HTTP: entry VMs that it lacks lose their place.
var _ = DescribeTable("does not use a list in a malformed response", func(head string) {
	server := testsupport.StartRawServer(GinkgoTB(), head+"Content-Length: 10\r\n\r\n{\"vms\":[]}")
	_, changed, err := vmlist.NewClient(server.Address).Get(context.Background())
	Expect(err).To(MatchError(vmlist.ErrUnavailable))
	Expect(changed).To(BeFalse())
},
	Entry("status 000", "HTTP/1.1 000 OK\r\n"),
	Entry("blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n"),
)
