package httpserve

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/cicadadale/cicadadale/timeline"
)

// Events returns the handler of GET /events, which serves the events of a ring that match the query.
func Events(r *timeline.Ring) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		q, err := url.ParseQuery(string(c.URI().QueryString()))
		if err != nil {
			c.String(http.StatusBadRequest, "malformed query: %s", err)
			return
		}
		f, err := timeline.ParseFilter(q)
		if err != nil {
			c.String(http.StatusBadRequest, "%s", err)
			return
		}
		limit := 0
		if text := q.Get("limit"); text != "" {
			if limit, err = strconv.Atoi(text); err != nil || limit < 1 {
				c.String(http.StatusBadRequest, "limit %q is not a positive number", text)
				return
			}
		}
		c.JSON(http.StatusOK, r.Part(f, limit))
	}
}
