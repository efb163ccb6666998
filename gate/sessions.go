package gate

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

func (g *Gate) postSession(ctx iris.Context)   { ctx.StatusCode(http.StatusNotImplemented) }
func (g *Gate) postRequest(ctx iris.Context)   { ctx.StatusCode(http.StatusNotImplemented) }
func (g *Gate) postStream(ctx iris.Context)    { ctx.StatusCode(http.StatusNotImplemented) }
func (g *Gate) deleteSession(ctx iris.Context) { ctx.StatusCode(http.StatusNotImplemented) }
