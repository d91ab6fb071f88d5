#ifndef TESTS_PRINTED_H
#define TESTS_PRINTED_H

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

/* Returns what a function writes to the stream that it is given. */
inline std::string printed(const std::function<void(FILE *)> &print)
{
	char *text = nullptr;
	size_t bytes = 0;
	FILE *out = open_memstream(&text, &bytes);

	print(out);
	fclose(out);
	std::string s(text, bytes);
	free(text);
	return s;
}

#endif
