#include "eb_kind_times.h"

/* Smoothing shift of a kind's service time. */
#define KIND_SHIFT 3

/* Returns the index of a kind, or EB_KIND_TIMES_MAX if it has no entry. */
static uint32_t find(const struct eb_kind_times *kt, uint32_t kind)
{
	uint32_t i;

	for (i = 0; kind && i < EB_KIND_TIMES_MAX; i++)
		if (kt->entries[i].kind == kind)
			return i;
	return EB_KIND_TIMES_MAX;
}

/* Returns the service time of a kind, or 0 if it is not known. */
int64_t eb_kind_times_get(const struct eb_kind_times *kt, uint32_t kind)
{
	uint32_t i = find(kt, kind);

	return i < EB_KIND_TIMES_MAX ? kt->entries[i].service_us : 0;
}

/* Updates the service time of a kind; samples of zero or less are ignored. */
void eb_kind_times_sample(struct eb_kind_times *kt, uint32_t kind,
			  int64_t service_us)
{
	uint32_t i = find(kt, kind);
	struct eb_kind_time *kn;

	if (!kind || service_us <= 0)
		return;
	kn = &kt->entries[i < EB_KIND_TIMES_MAX
				  ? i
				  : kt->next++ % EB_KIND_TIMES_MAX];
	if (i == EB_KIND_TIMES_MAX) {
		kn->kind = kind;
		kn->service_us = service_us;
	}
	kn->service_us += (service_us - kn->service_us) / (1 << KIND_SHIFT);
}
