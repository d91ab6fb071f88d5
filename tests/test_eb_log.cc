#include <gtest/gtest.h>

#include <fcntl.h>

#include <string>
#include <unistd.h>

extern "C" {
#include "eb_log.h"
#include "eb_tunables.h"
}

namespace
{

class Log : public testing::Test
{
protected:
	void SetUp() override
	{
		ASSERT_EQ(0, pipe(fds));
		lg = eb_log_new(fds[1], EB_LOG_INFO);
	}

	void TearDown() override
	{
		eb_log_free(lg);
		close(fds[0]);
		close(fds[1]);
	}

	/* Returns the next line without its time= pair. */
	std::string line()
	{
		std::string out;
		char c;

		while (read(fds[0], &c, 1) == 1 && c != '\n')
			out += c;
		EXPECT_EQ(0u, out.find("time=20")) << out;
		return out.substr(out.find(' ') + 1);
	}

	int fds[2];
	eb_log *lg = nullptr;
};

/*
 * Guards against lines that a logfmt reader cannot parse, because a value holds
 * a line break or an escape sequence, or is too long.
 */
TEST_F(Log, Lines)
{
	eb_log_write(lg, EB_LOG_DEBUG, "core", "hidden", NULL);
	eb_log_write(lg, EB_LOG_WARN, "core", "plain", NULL);
	EXPECT_EQ("level=warn module=core msg=\"plain\"", line());
	eb_log_write(lg, EB_LOG_INFO, "core", "pairs", "call=%d path=%s", 7,
		     "/a\nlevel=error\x1b[2J");
	EXPECT_EQ("level=info module=core msg=\"pairs\" call=7 "
		  "path=/a?level=error?[2J",
		  line());
	eb_log_write(lg, EB_LOG_INFO, "core", "long", "x=%s",
		     std::string(5000, 'x').c_str());
	EXPECT_GT(1024u, line().size());
	eb_log_write(NULL, EB_LOG_ERROR, "core", "no logger", NULL);
}

/*
 * Guards against log lines without a rate limit, and against dropping an error
 * because ordinary lines have used up the limit.
 */
TEST_F(Log, RateLimit)
{
	char buf[4096];
	uint64_t lines = 0;

	/* Non-blocking, so that a slow machine cannot block the test. */
	for (int fd : fds)
		fcntl(fd, F_SETFL, O_NONBLOCK);
	for (; !eb_log_dropped(lg); lines++)
		eb_log_write(lg, EB_LOG_INFO, "core", "flood", NULL);
	EXPECT_LE((uint64_t)EB_LOG_LINES_PER_S, lines);
	while (read(fds[0], buf, sizeof(buf)) > 0)
		;
	eb_log_write(lg, EB_LOG_ERROR, "core", "kept", NULL);
	EXPECT_EQ(1u, eb_log_dropped(lg));
	EXPECT_EQ("level=error module=core msg=\"kept\"", line());
}

/* Guards against a level name that is read as another level. */
TEST(LogLevel, Parse)
{
	const struct {
		const char *name;
		int status;
		eb_log_level level;
	} cases[] = {
		{ "error", 0, EB_LOG_ERROR }, { "warn", 0, EB_LOG_WARN },
		{ "info", 0, EB_LOG_INFO },   { "debug", 0, EB_LOG_DEBUG },
		{ "Info", -1, EB_LOG_ERROR }, { "", -1, EB_LOG_ERROR },
	};

	for (const auto &c : cases) {
		eb_log_level level = EB_LOG_ERROR;

		EXPECT_EQ(c.status, eb_log_level_parse(c.name, &level));
		EXPECT_EQ(c.level, level) << c.name;
	}
}

} // namespace
