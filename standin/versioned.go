package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
)

// writeVersioned writes a value as JSON with an entity tag, or status 304 if the caller already has this version.
func writeVersioned(c *app.RequestContext, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.String(http.StatusInternalServerError, "%s", err)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Header("ETag", tag)
	if string(c.GetHeader("If-None-Match")) == tag {
		c.Status(http.StatusNotModified)
		return
	}
	c.Data(http.StatusOK, "application/json; charset=utf-8", body)
}
