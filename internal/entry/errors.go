package entry

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// answerError writes an error with its code's status and the time to come back.
func answerError(c *fiber.Ctx, err error) error {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.New(result.Internal, err.Error())
	}
	info, ok := result.Lookup(coded.Code)
	if !ok {
		info.Status = fiber.StatusInternalServerError
	}
	setCode(c, coded.Code)
	if coded.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, retrySeconds(coded.RetryAfter))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(info.Status).Send(coded.Body())
}

// retrySeconds returns whole seconds, rounded up.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// setCode tells the caller the result code.
func setCode(c *fiber.Ctx, code result.Code) {
	c.Set(HeaderCode, strconv.Itoa(int(code)))
}

// answerFiberError answers what fiber itself refuses, such as a body over the
// limit.
func answerFiberError(c *fiber.Ctx, err error) error {
	var refused *fiber.Error
	if !errors.As(err, &refused) {
		return answerError(c, result.New(result.Internal, err.Error()))
	}
	code := result.BadRequest
	switch refused.Code {
	case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
		code = result.TooLarge
	}
	return answerError(c, result.New(code, refused.Message))
}

// checkMethod answers methods that fiber doesn't know, which it would refuse
// without a code.
func checkMethod(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			next(ctx)
			return
		}
		e := result.New(result.BadRequest, "the method is not known")
		ctx.Response.Header.Set(HeaderCode, strconv.Itoa(int(e.Code)))
		ctx.SetContentType(fiber.MIMEApplicationJSON)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBody(e.Body())
	}
}
