#include <gtest/gtest.h>

#include <poll.h>

#include <thread>
#include <vector>

extern "C" {
#include "eb_ring.h"
}

namespace
{

int readable(eb_ring *rg)
{
	pollfd p = { eb_ring_fd(rg), POLLIN, 0 };

	return poll(&p, 1, 0);
}

/*
 * Guards against items out of order, refusals that are not counted, and an
 * eventfd that is not readable exactly while items are left. The ring is filled
 * beyond its size, several times, so that its positions wrap around.
 */
TEST(Ring, OrderBoundAndWakeUp)
{
	eb_ring *rg = eb_ring_new(3);
	int values[5];
	void *out[5];

	for (int round = 0; round < 5; round++) {
		EXPECT_EQ(0, readable(rg));
		for (int i = 0; i < 5; i++)
			EXPECT_EQ(i < 3 ? EB_OK : EB_EFULL,
				  eb_ring_push(rg, &values[i]));
		EXPECT_EQ(1, readable(rg));
		EXPECT_EQ(2u * (round + 1), eb_ring_refused(rg));
		ASSERT_EQ(2u, eb_ring_pop(rg, out, 2));
		EXPECT_EQ(&values[0], out[0]);
		EXPECT_EQ(&values[1], out[1]);
		EXPECT_EQ(1, readable(rg)) << "one item is left";
		ASSERT_EQ(1u, eb_ring_pop(rg, out, 5));
		EXPECT_EQ(&values[2], out[0]);
		EXPECT_EQ(0u, eb_ring_pop(rg, out, 5));
	}
	eb_ring_free(rg);
	eb_ring_free(nullptr);
}

/*
 * Guards against a consumer that sleeps while items are left, because a push
 * and the reset of the eventfd by a pop have overlapped.
 */
TEST(Ring, ProducersNeverLoseAWakeUp)
{
	const int producers = 4, each = 5000;
	eb_ring *rg = eb_ring_new(64);
	std::vector<std::thread> threads;
	int item = 0, got = 0;
	void *out[16];

	for (int i = 0; i < producers; i++)
		threads.emplace_back([&] {
			for (int n = 0; n < each; n++)
				while (eb_ring_push(rg, &item))
					std::this_thread::yield();
		});
	while (got < producers * each) {
		pollfd p = { eb_ring_fd(rg), POLLIN, 0 };

		ASSERT_EQ(1, poll(&p, 1, 60000)) << got;
		got += (int)eb_ring_pop(rg, out, 16);
	}
	for (std::thread &t : threads)
		t.join();
	EXPECT_EQ(0, readable(rg));
	eb_ring_free(rg);
}

} // namespace
