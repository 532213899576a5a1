package admin

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// Guards against a status or an answer that is taken from a malformed response, and against using its connection again.
func TestMalformedResponseOfAnAdminListener(t *testing.T) {
	for name, response := range respchecktest.Responses("", `{"instance":"e1"}`) {
		for question, ask := range map[string]func(address string) error{
			"status": func(address string) error { _, err := FetchStatus(t.Context(), address); return err },
			"where": func(address string) error {
				_, err := FetchWhere(t.Context(), address, WhereQuestion{Method: http.MethodGet, Path: "/"})
				return err
			},
		} {
			t.Run(question+"/"+name, func(t *testing.T) {
				is := is.New(t)
				server := respchecktest.Serve(t, response)
				for range 2 {
					is.True(fault.Is(ask(server.Address), fault.Unavailable))
				}
				is.True(server.Requests.Load() <= server.Conns.Load()) // none is used again
			})
		}
	}
}
