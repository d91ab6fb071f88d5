#include <zmq.h>

#include "standin.h"

/* Prints CURVE key pairs for daemons, one per line: public key, secret key. */
int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_int *count = arg_int0(NULL, "count", "N", "default 1");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, count, end };
	char public_key[41], secret_key[41];
	int i, status, n = 1;

	status = standin_args(table, help, end, argc, argv,
			      "Generates CURVE key pairs.");
	if (status < 0 && count->count)
		n = count->ival[0];
	for (i = 0; status < 0 && i < n; i++) {
		if (zmq_curve_keypair(public_key, secret_key))
			status = STANDIN_EXIT_FAILURE;
		else
			printf("%s %s\n", public_key, secret_key);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status < 0 ? STANDIN_EXIT_OK : status;
}
