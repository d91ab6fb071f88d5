#include "eb_kind_times.h"

/* Smoothing shift of a kind's service time. */
#define KIND_SHIFT 3
/* Smoothing shift by which the least service time rises. */
#define LEAST_SHIFT 6
/*
 * A service time loses half of its excess over the least one at twice this age.
 * A host stays slow for a few hundred milliseconds.
 */
#define AGE_US 100000

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

/*
 * Returns the service time of a kind, or 0 if it is not known. Without new
 * samples it falls towards the least one. Requests that appear to be late are
 * refused and give no samples: a kind whose service time exceeded its objective
 * once, while its host was slow, would else be refused for good.
 */
int64_t eb_kind_times_aged(const struct eb_kind_times *kt, uint32_t kind,
			   int64_t now_us)
{
	uint32_t i = find(kt, kind);
	const struct eb_kind_time *kn = &kt->entries[i];
	int64_t age_us;

	if (i == EB_KIND_TIMES_MAX)
		return 0;
	age_us = now_us - kn->at_us;
	if (age_us <= AGE_US || kn->service_us <= kn->least_us)
		return kn->service_us;
	return kn->least_us + (kn->service_us - kn->least_us) * AGE_US / age_us;
}

/* Updates the service time of a kind; samples of zero or less are ignored. */
void eb_kind_times_sample(struct eb_kind_times *kt, uint32_t kind,
			  int64_t service_us, int64_t now_us)
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
		kn->least_us = service_us;
	}
	kn->at_us = now_us;
	if (service_us < kn->least_us)
		kn->least_us = service_us;
	kn->least_us += (service_us - kn->least_us) / (1 << LEAST_SHIFT);
	kn->service_us += (service_us - kn->service_us) / (1 << KIND_SHIFT);
}
