#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include "standin.h"

/*
 * TCP relay that stands for a network link between two processes. Faults are
 * set over a control port and apply to open links too: reset, delay, one or
 * both directions blocked without a close, limited byte rate, connections
 * refused.
 */

#define LINKS_MAX 256
#define CHUNKS_MAX 1024 /* queued in one direction of a link */
#define CHUNK_BYTES 16384
/* Poll timeout while chunks are queued: not due yet, or the socket is full. */
#define POLL_WAITING_MS 1
/* Limit of the bytes queued in a direction: keeps the back-pressure of TCP. */
#define BACKLOG_BYTES (1 << 20)

enum direction { FORWARD = 0, BACKWARD = 1 };

/* Bytes received at once; `at` is the offset of the first unsent byte. */
struct chunk {
	int64_t due_us;
	uint32_t used;
	uint32_t at;
	uint8_t *bytes;
};

/* One direction of a link: a queue of chunks with the time they are due. */
struct flow {
	struct chunk chunks[CHUNKS_MAX];
	uint32_t first;
	uint32_t count;
	size_t backlog; /* bytes queued */
	uint64_t sent_bytes;
	uint8_t ended;	  /* the sender has closed its side */
	uint8_t end_sent; /* the side of the receiver is shut down too */
};

struct link {
	int fd[2]; /* of the caller and of the target */
	struct flow flow[2];
	int64_t next_byte_us[2]; /* with `byte_us`: not before this */
	uint8_t open;
	uint8_t silent[2]; /* blocked for good by /control/silence_open */
};

/* The faults in force; control_fault() describes each of them. */
struct faults {
	uint8_t silent[2];
	uint8_t refuse;
	int64_t delay_us;
	int64_t jitter_us;
	int64_t byte_us; /* time per byte, 0: no limit */
};

struct relay {
	pthread_mutex_t lock;
	struct MHD_Daemon *control;
	struct sockaddr_in target;
	struct sockaddr_in listen_at;
	int listen_fd;
	int event_fd;
	struct link links[LINKS_MAX];
	struct faults fault;
	uint64_t accepted;
	uint64_t refused; /* past LINKS_MAX */
	uint64_t sent_bytes[2];
	uint64_t random;
	uint8_t stopping;
};

struct request {
	struct standin_body body;
};

/* Wakes relay_thread() from its poll. */
static void wake(struct relay *re)
{
	uint64_t one = 1;

	if (write(re->event_fd, &one, sizeof(one)) < 0)
		perror("relay: wake");
}

static void drop_chunks(struct flow *fw)
{
	for (; fw->count; fw->count--) {
		free(fw->chunks[fw->first].bytes);
		fw->first = (fw->first + 1) % CHUNKS_MAX;
	}
	fw->backlog = 0;
}

/* Closes both sides of a link; with `reset`, by a TCP reset. Locked. */
static void close_link(struct link *ln, int reset)
{
	struct linger lg = { 1, 0 };
	int i;

	if (!ln->open)
		return;
	for (i = 0; i < 2; i++) {
		if (reset)
			setsockopt(ln->fd[i], SOL_SOCKET, SO_LINGER, &lg,
				   sizeof(lg));
		close(ln->fd[i]);
		drop_chunks(&ln->flow[i]);
	}
	memset(ln, 0, sizeof(*ln));
}

/* Opens the listening socket. Returns 0 on failure. */
static int open_listener(struct relay *re)
{
	int one = 1;

	re->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (re->listen_fd < 0)
		return 0;
	setsockopt(re->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(re->listen_fd, (struct sockaddr *)&re->listen_at,
		 sizeof(re->listen_at)) ||
	    listen(re->listen_fd, 128)) {
		close(re->listen_fd);
		re->listen_fd = -1;
		return 0;
	}
	return 1;
}

/*
 * Accepts a connection and starts to connect it to the target. Closes it if
 * LINKS_MAX links are open. Locked.
 */
static void accept_link(struct relay *re)
{
	struct link *ln = NULL;
	int i, one = 1, fd;

	fd = accept4(re->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	for (i = 0; i < LINKS_MAX && !ln; i++)
		if (!re->links[i].open)
			ln = &re->links[i];
	if (!ln) {
		re->refused++;
		close(fd);
		return;
	}
	ln->fd[0] = fd;
	ln->fd[1] =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (ln->fd[1] < 0) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(ln->fd[1], IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	ln->open = 1;
	re->accepted++;
	if (connect(ln->fd[1], (struct sockaddr *)&re->target,
		    sizeof(re->target)) &&
	    errno != EINPROGRESS)
		close_link(ln, 1);
}

/* Returns 1 if a direction of a link passes nothing on. */
static int is_blocked(const struct relay *re, const struct link *ln, int dir)
{
	return ln->silent[dir] || re->fault.silent[dir];
}

/*
 * Reads what one side of a link has sent and queues it, up to BACKLOG_BYTES.
 * Returns 0 if the link has to be reset. Locked.
 */
static int receive_chunks(struct relay *re, struct link *ln, int dir,
			  int64_t now)
{
	struct flow *fw = &ln->flow[dir];
	struct chunk *ck;
	uint8_t buf[CHUNK_BYTES];
	ssize_t n;

	while (!fw->ended && fw->count < CHUNKS_MAX &&
	       fw->backlog < BACKLOG_BYTES) {
		n = recv(ln->fd[dir], buf, sizeof(buf), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return 1;
		/* A blocked link does not pass on a reset either. */
		if (n < 0 && !is_blocked(re, ln, dir))
			return 0;
		if (n <= 0) {
			fw->ended = 1;
			return 1;
		}
		ck = &fw->chunks[(fw->first + fw->count) % CHUNKS_MAX];
		ck->bytes = malloc((size_t)n);
		if (!ck->bytes)
			return 0;
		memcpy(ck->bytes, buf, (size_t)n);
		ck->used = (uint32_t)n;
		ck->at = 0;
		ck->due_us = now + re->fault.delay_us;
		if (re->fault.jitter_us) {
			re->random = re->random * 6364136223846793005ULL +
				     1442695040888963407ULL;
			ck->due_us += (int64_t)((re->random >> 33) %
						(uint64_t)re->fault.jitter_us);
		}
		fw->count++;
		fw->backlog += (size_t)n;
	}
	return 1;
}

/*
 * Sends the chunks that are due to the other side of a link, then its end.
 * Returns 0 if the link has to be reset. Locked.
 */
static int send_chunks(struct relay *re, struct link *ln, int dir, int64_t now)
{
	struct flow *fw = &ln->flow[dir];
	struct chunk *ck;
	size_t n;
	ssize_t sent;

	while (fw->count && !is_blocked(re, ln, dir)) {
		ck = &fw->chunks[fw->first];
		n = ck->used - ck->at;
		if (ck->due_us > now)
			return 1;
		if (re->fault.byte_us) {
			if (ln->next_byte_us[dir] > now)
				return 1;
			ln->next_byte_us[dir] = now + re->fault.byte_us;
			n = 1;
		}
		sent = send(ln->fd[!dir], ck->bytes + ck->at, n, MSG_NOSIGNAL);
		if (sent < 0)
			return errno == EAGAIN || errno == EINTR;
		ck->at += (uint32_t)sent;
		fw->backlog -= (size_t)sent;
		re->sent_bytes[dir] += (uint64_t)sent;
		if (ck->at == ck->used) {
			free(ck->bytes);
			fw->first = (fw->first + 1) % CHUNKS_MAX;
			fw->count--;
		}
	}
	if (!fw->count && fw->ended && !fw->end_sent &&
	    !is_blocked(re, ln, dir)) {
		fw->end_sent = 1;
		shutdown(ln->fd[!dir], SHUT_WR);
	}
	return 1;
}

/* Relays on all links. Returns 1 if chunks remain queued. Locked. */
static int relay_all(struct relay *re, int64_t now)
{
	int i, waiting = 0;
	struct link *ln;

	for (i = 0; i < LINKS_MAX; i++) {
		ln = &re->links[i];
		if (!ln->open)
			continue;
		if (!receive_chunks(re, ln, FORWARD, now) ||
		    !receive_chunks(re, ln, BACKWARD, now) ||
		    !send_chunks(re, ln, FORWARD, now) ||
		    !send_chunks(re, ln, BACKWARD, now)) {
			close_link(ln, 1);
			continue;
		}
		if (ln->flow[0].end_sent && ln->flow[1].end_sent)
			close_link(ln, 0);
		else
			waiting |= ln->flow[0].count || ln->flow[1].count;
	}
	return waiting;
}

/* Lists the sockets to poll and returns their number. Locked. */
static nfds_t list_sockets(struct relay *re, struct pollfd *pf)
{
	struct link *ln;
	nfds_t n = 0;
	int i, side;

	pf[n].fd = re->event_fd;
	pf[n++].events = POLLIN;
	pf[n].fd = re->listen_fd; /* poll ignores -1 */
	pf[n++].events = POLLIN;
	for (i = 0; i < LINKS_MAX; i++) {
		ln = &re->links[i];
		for (side = 0; ln->open && side < 2; side++) {
			if (ln->flow[side].ended ||
			    ln->flow[side].count == CHUNKS_MAX ||
			    ln->flow[side].backlog >= BACKLOG_BYTES)
				continue;
			pf[n].fd = ln->fd[side];
			pf[n++].events = POLLIN;
		}
	}
	return n;
}

/* Relays until `stopping` is set. */
static void *relay_thread(void *arg)
{
	static struct pollfd pf[2 + 2 * LINKS_MAX];
	struct relay *re = arg;
	uint64_t count;
	int i, waiting = 0;
	nfds_t n;

	pthread_mutex_lock(&re->lock);
	while (!re->stopping) {
		n = list_sockets(re, pf);
		pthread_mutex_unlock(&re->lock);
		poll(pf, n, waiting ? POLL_WAITING_MS : -1);
		pthread_mutex_lock(&re->lock);
		if (pf[0].revents && read(re->event_fd, &count, 8) < 0)
			perror("relay: event");
		if (re->listen_fd >= 0 && pf[1].revents)
			accept_link(re);
		waiting = relay_all(re, standin_now_us());
	}
	for (i = 0; i < LINKS_MAX; i++)
		close_link(&re->links[i], 0);
	pthread_mutex_unlock(&re->lock);
	return NULL;
}

/* Reads "forward", "backward" or "both" from a member of a JSON object. */
static void read_silent(json_t *js, uint8_t silent[2])
{
	const char *s = json_string_value(json_object_get(js, "silent"));

	if (!s)
		s = "";
	silent[FORWARD] = !strcmp(s, "forward") || !strcmp(s, "both");
	silent[BACKWARD] = !strcmp(s, "backward") || !strcmp(s, "both");
}

/*
 * Replaces the faults in force with those of a JSON object, {} for none:
 * silent: "forward", "backward" or "both"; passes nothing on in that direction
 * delay_ms, jitter_ms: constant delay of each chunk and limit of a random one
 * byte_us: time of each byte
 * refuse: refuse connections
 */
static enum MHD_Result control_fault(struct relay *re,
				     struct MHD_Connection *cn, json_t *js)
{
	struct faults ft = { 0 };
	int ok = 1;

	read_silent(js, ft.silent);
	ft.delay_us =
		json_integer_value(json_object_get(js, "delay_ms")) * 1000;
	ft.jitter_us =
		json_integer_value(json_object_get(js, "jitter_ms")) * 1000;
	ft.byte_us = json_integer_value(json_object_get(js, "byte_us"));
	ft.refuse = json_is_true(json_object_get(js, "refuse"));
	pthread_mutex_lock(&re->lock);
	re->fault = ft;
	if (ft.refuse && re->listen_fd >= 0) {
		/* close alone keeps the socket open while a poll uses it */
		shutdown(re->listen_fd, SHUT_RDWR);
		close(re->listen_fd);
		re->listen_fd = -1;
	} else if (!ft.refuse && re->listen_fd < 0) {
		ok = open_listener(re);
	}
	pthread_mutex_unlock(&re->lock);
	wake(re);
	if (!ok)
		return standin_reply_error(cn, 500, "cannot listen");
	return standin_reply_json(cn, 200, json_object());
}

/*
 * Blocks all open links for good in the directions of `js`, or resets them
 * without it.
 */
static enum MHD_Result control_links(struct relay *re,
				     struct MHD_Connection *cn, json_t *js)
{
	int i, n = 0;

	pthread_mutex_lock(&re->lock);
	for (i = 0; i < LINKS_MAX; i++) {
		if (!re->links[i].open)
			continue;
		n++;
		if (js)
			read_silent(js, re->links[i].silent);
		else
			close_link(&re->links[i], 1);
	}
	pthread_mutex_unlock(&re->lock);
	wake(re);
	return standin_reply_json(cn, 200, json_pack("{s:i}", "links", n));
}

static enum MHD_Result control_stats(struct relay *re,
				     struct MHD_Connection *cn)
{
	int i, open = 0;
	json_t *js;

	pthread_mutex_lock(&re->lock);
	for (i = 0; i < LINKS_MAX; i++)
		open += re->links[i].open;
	js = json_pack("{s:i,s:I,s:I,s:I,s:I}", "open", open, "accepted",
		       (json_int_t)re->accepted, "refused",
		       (json_int_t)re->refused, "forward_bytes",
		       (json_int_t)re->sent_bytes[FORWARD], "backward_bytes",
		       (json_int_t)re->sent_bytes[BACKWARD]);
	pthread_mutex_unlock(&re->lock);
	return standin_reply_json(cn, 200, js);
}

/* Called by MHD for the head, for each part of the body and at its end. */
static enum MHD_Result handle(void *cls, struct MHD_Connection *cn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *data_bytes, void **con_cls)
{
	struct request *rq = *con_cls;
	enum MHD_Result ok;
	json_t *js;

	(void)method;
	(void)version;
	if (!rq) {
		rq = calloc(1, sizeof(*rq));
		*con_cls = rq;
		return rq ? MHD_YES : MHD_NO;
	}
	if (*data_bytes) {
		standin_body_add(&rq->body, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/control/cut"))
		return control_links(cls, cn, NULL);
	if (!strcmp(url, "/control/stats"))
		return control_stats(cls, cn);
	if (strcmp(url, "/control/fault") != 0 &&
	    strcmp(url, "/control/silence_open") != 0)
		return standin_reply_error(cn, 404, "no such path");
	js = json_loads(rq->body.text ? rq->body.text : "{}", 0, NULL);
	if (!js)
		return standin_reply_error(cn, 400, "bad JSON");
	ok = strcmp(url, "/control/fault") ? control_links(cls, cn, js)
					   : control_fault(cls, cn, js);
	json_decref(js);
	return ok;
}

static void completed(void *cls, struct MHD_Connection *cn, void **con_cls,
		      enum MHD_RequestTerminationCode toe)
{
	struct request *rq = *con_cls;

	(void)cls;
	(void)cn;
	(void)toe;
	if (rq)
		free(rq->body.text);
	free(rq);
	*con_cls = NULL;
}

/* Relays until a signal arrives. Returns the exit status. */
static int run(struct relay *re, struct sockaddr_in *control_sa)
{
	sigset_t set;
	pthread_t th;

	standin_block_signals(&set);
	re->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (re->event_fd < 0 || !open_listener(re)) {
		fprintf(stderr, "relay: cannot listen\n");
		return STANDIN_EXIT_FAILURE;
	}
	re->control = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, re,
		MHD_OPTION_SOCK_ADDR, control_sa,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_NOTIFY_COMPLETED, completed, NULL, MHD_OPTION_END);
	if (!re->control || pthread_create(&th, NULL, relay_thread, re)) {
		fprintf(stderr, "relay: --control: cannot listen\n");
		return STANDIN_EXIT_FAILURE;
	}
	standin_wait_signal(&set);
	pthread_mutex_lock(&re->lock);
	re->stopping = 1;
	pthread_mutex_unlock(&re->lock);
	wake(re);
	pthread_join(th, NULL);
	MHD_stop_daemon(re->control);
	if (re->listen_fd >= 0)
		close(re->listen_fd);
	close(re->event_fd);
	return STANDIN_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_str *at = arg_str1(NULL, "listen", "IP:PORT", "caller side");
	struct arg_str *to = arg_str1(NULL, "target", "IP:PORT", "other side");
	struct arg_str *control =
		arg_str1(NULL, "control", "IP:PORT", "control port");
	struct arg_end *end = arg_end(20);
	void *table[] = { help, at, to, control, end };
	struct relay *re = calloc(1, sizeof(*re));
	struct sockaddr_in control_sa;
	int status;

	status = standin_args(table, help, end, argc, argv,
			      "TCP relay with faults.");
	if (status < 0 && re) {
		pthread_mutex_init(&re->lock, NULL);
		status = STANDIN_EXIT_USAGE;
		if (standin_address(at->sval[0], &re->listen_at) &&
		    standin_address(to->sval[0], &re->target) &&
		    standin_address(control->sval[0], &control_sa))
			status = run(re, &control_sa);
		else
			fprintf(stderr, "relay: not a loopback IP:PORT\n");
	}
	free(re);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status < 0 ? STANDIN_EXIT_FAILURE : status;
}
