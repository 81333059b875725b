package proxy_test

import (
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("trailers of a response to an operation", func() {
	// Guards against trailers that are lost when the response is read into memory to be stored, or when it is replayed.
	DescribeTable("are sent to the caller and with repeats of the key", func(size int) {
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Checksum, X-Pages")
			w.WriteHeader(201)
			_, _ = io.WriteString(w, strings.Repeat("p", size))
			w.(http.Flusher).Flush()
			w.Header().Set("X-Checksum", "abc")
			w.Header().Set("X-Pages", "7")
		})
		owner := newVM(GinkgoTB(), "e1", []string{address}, nil)
		other := newVM(GinkgoTB(), "e2", nil, nil)
		key := issueTicket(owner)
		for _, v := range []*vm{other, owner, other} {
			resp := doRequest("POST", v.url("/orders"), "paint", "Idempotency-Key", key)
			Expect(resp.StatusCode).To(Equal(201))
			Expect(readBody(resp)).To(HaveLen(size))
			Expect(resp.Trailer.Get("X-Checksum")).To(Equal("abc"))
			Expect(resp.Trailer.Get("X-Pages")).To(Equal("7"))
			Expect(resp.Header.Get("X-Checksum")).To(BeEmpty())
		}
	},
		Entry("an empty response", 0),
		Entry("a response that is read at once", 100),
		Entry("a response that is streamed and stored", 40_000),
	)

	// Guards against trailers that are lost when the response is too large to be stored.
	It("are sent to the caller of a large response", func() {
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Checksum")
			_, _ = w.Write(make([]byte, 300_000))
			w.Header().Set("X-Checksum", "abc")
		})
		v := newVM(GinkgoTB(), "e1", []string{address}, nil)
		resp := doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k")
		Expect(readBody(resp)).To(HaveLen(300_000))
		Expect(resp.Trailer.Get("X-Checksum")).To(Equal("abc"))
	})
})
