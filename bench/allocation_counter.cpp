#include "bench/allocation_counter.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

// Of each thread, so that fleets can be measured side by side; what one thread allocates, another
// doesn't free here.
thread_local std::size_t live = 0;
thread_local std::size_t peak = 0;

void *counted(void *memory)
{
    if (!memory)
        std::abort();
    live += malloc_usable_size(memory);
    peak = std::max(peak, live);
    return memory;
}

void release(void *memory)
{
    if (memory)
        live -= malloc_usable_size(memory);
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    return counted(std::malloc(size > 0 ? size : 1));
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace orchidlead::bench {

std::size_t liveBytes()
{
    return live;
}

std::size_t peakBytes()
{
    return peak;
}

void resetPeak()
{
    peak = live;
}

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double Nano = 1e-9;
    return static_cast<double>(time.tv_sec) + Nano * static_cast<double>(time.tv_nsec);
}

} // namespace orchidlead::bench
