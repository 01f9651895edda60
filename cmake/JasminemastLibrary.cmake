# Helpers that keep the layers of lib/ and their tests uniform.

# jasminemast_library(<name> [LINK target...]) builds every source of the current folder into one layer.
function(jasminemast_library name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(jasminemast-${name} STATIC ${sources})
    target_include_directories(jasminemast-${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(jasminemast-${name} PUBLIC ${ARG_LINK})
endfunction()

# jasminemast_unittest(<name> [LABELS label...] [LINK target...] [SOURCES file...]) builds one test program and registers it with ctest.
# Without SOURCES the program is made from <name>.cpp.
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
