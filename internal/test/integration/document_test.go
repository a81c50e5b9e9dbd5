package integration

import (
	"fmt"
	"strings"
)

// document returns a configuration with the routes "quick" and "patient", the models "swift", "rare" and "other", and extra
// routes.
func document(revision int, extra string) string {
	return fmt.Sprintf(`{"revision":%d,"routeTable":[
	{"name":"quick","hostname":"shop.example","pathPrefix":"/quick/","routeType":"streaming","timeoutMs":20000,
	"targetLatencyMs":600,"priority":1,"backend":"scribes","retryCount":1,"sticky":true,"resumable":false,
	"tokenGapMs":300},
	{"name":"patient","hostname":"shop.example","pathPrefix":"/patient/","routeType":"streaming","timeoutMs":30000,
	"targetLatencyMs":8000,"priority":0,"backend":"scribes","retryCount":2,"sticky":true,"resumable":true,
	"tokenGapMs":300}%s],
	"backends":[{"name":"scribes","healthPath":"/healthz","maxConns":64,"coldStartS":3,"coldPerS":2,"runtime":{"slots":8,
	"kvCacheTokens":10000,"modelList":[
	{"name":"swift","weightSizeMb":100,"loadTimeS":2,"adapterList":2,"adapterSizeMb":1},{"name":"rare",
	"weightSizeMb":100,"loadTimeS":2,"adapterList":0,"adapterSizeMb":1},{"name":"other","weightSizeMb":100,"loadTimeS":2,
	"adapterList":0,"adapterSizeMb":1}],
	"weightSizeMb":210,"adapterCapacity":4,"loadsPerS":1}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, revision, extra)
}

// regionRoutes are two routes, each of which only one region may serve.
const regionRoutes = `,{"name":"bound","hostname":"shop.example","pathPrefix":"/bound/","routeType":"streaming",
	"timeoutMs":20000,"targetLatencyMs":600,"priority":2,"backend":"scribes","retryCount":1,"allowedRegions":["far"]},
	{"name":"homely","hostname":"shop.example","pathPrefix":"/homely/","routeType":"streaming","timeoutMs":20000,
	"targetLatencyMs":600,"priority":2,"backend":"scribes","retryCount":1,"allowedRegions":["land"]}`

// newRoute is an additional route with the name "added".
const newRoute = `,{"name":"added","hostname":"shop.example","pathPrefix":"/added/","routeType":"streaming",
	"timeoutMs":20000,"targetLatencyMs":600,"priority":1,"backend":"scribes","retryCount":1}`

// routeNamed returns newRoute with another name.
func routeNamed(name string) string { return strings.ReplaceAll(newRoute, "added", name) }
