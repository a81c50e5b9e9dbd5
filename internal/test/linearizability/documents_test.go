package linearizability_test

import (
	"context"
	"encoding/json"
	"fmt"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

func route(name string, value int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"shop.example","pathPrefix":"/%s/","routeType":"idempotent","timeoutMs":%d,`+
		`"targetLatencyMs":600,"backend":"scribes","retryCount":1}`, name, name, value)
}

func document(revision int64, first, second int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routeTable":[%s,%s],"backends":[{"name":"scribes","healthPath":"/healthz"}]}`,
		revision, route("first", first), route("second", second))
}

func patch(revision int64, second int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"upsert":{"routeTable":[%s]}}`, revision, route("second", second))
}

// readConfiguration returns revision and content; no configuration yet is revision 0.
func readConfiguration(ctx context.Context, state *controlstate.State) (int64, content, error) {
	body, err := state.Configuration(ctx)
	if err != nil {
		if apierror.From(err).Kind == apierror.NoConfiguration {
			return 0, content{}, nil
		}
		return 0, content{}, err
	}
	var read struct {
		Revision int64 `json:"revision"`
		Routes   []struct {
			Name    string `json:"name"`
			Timeout int    `json:"timeoutMs"`
		} `json:"routeTable"`
	}
	if err := json.Unmarshal(body, &read); err != nil {
		return 0, content{}, err
	}
	var found content
	for _, route := range read.Routes {
		if route.Name == "first" {
			found.first = route.Timeout
		} else {
			found.second = route.Timeout
		}
	}
	return read.Revision, found, nil
}

func readZone(ctx context.Context, state *controlstate.State, zone string) (bool, error) {
	register, err := state.Store.Read(ctx, keystore.ZonePrefix+zone)
	if err != nil {
		return false, controlstate.ToAPIError(err)
	}
	record, err := controlstate.DecodeZone(register)
	return record.Drained, err
}
