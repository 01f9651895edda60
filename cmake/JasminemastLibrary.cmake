# Functions that define the libraries of lib/ and the unit tests.

# jasminemast_library(<name> [LINK target...]) builds all sources of the current folder into the static library
# jasminemast-<name>.
function(jasminemast_library name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(jasminemast-${name} STATIC ${sources})
    target_include_directories(jasminemast-${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(jasminemast-${name} PUBLIC ${ARG_LINK})
endfunction()

# jasminemast_unittest(<name> [LABELS label...] [LINK target...] [SOURCES file...] [TIMEOUT seconds]) builds a test
# program and registers it with ctest. SOURCES defaults to <name>.cpp, TIMEOUT to 300 s. RapidCheck runs with a fixed
# seed, so that failures can be reproduced.
function(jasminemast_unittest name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "LINK;LABELS;SOURCES" ${ARGN})
    if(NOT ARG_SOURCES)
        set(ARG_SOURCES ${name}.cpp)
    endif()
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS "${ARG_LABELS}" TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
